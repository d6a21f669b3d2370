#include "libcore/units.h"

#include <memory>
#include <random>

namespace amaranthward {

Instant monotonicNow() {
  auto SinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(SinceStart));
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
