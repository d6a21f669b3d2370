#include "libcore/units.h"

#include <ctime>
#include <memory>
#include <random>

namespace amaranthward {

Instant monotonicNow() {
  timespec SinceBoot{};
  // std::chrono::steady_clock stands still while the machine is suspended, so a
  // process would go on with deadlines and leases that have run out meanwhile.
  clock_gettime(CLOCK_BOOTTIME, &SinceBoot);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(SinceBoot.tv_sec) +
      std::chrono::nanoseconds(SinceBoot.tv_nsec)));
}

WallTime wallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

RandomFunction systemRandom() {
  std::random_device Device;
  std::uint64_t High = Device();
  return seededRandom((High << 32) | Device());
}

RandomFunction seededRandom(std::uint64_t Seed) {
  auto Generator = std::make_shared<std::mt19937_64>(Seed);
  return [Generator] { return (*Generator)(); };
}

} // namespace amaranthward
