#ifndef AMARANTHWARD_LIBCORE_UNITS_H
#define AMARANTHWARD_LIBCORE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace amaranthward {

using Duration = std::chrono::microseconds;

struct MonotonicClockTag {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClockTag, Duration>;
};

/// Monotonic time in microseconds; meaningful within one process only.
using Instant = MonotonicClockTag::time_point;
/// Calendar time in microseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// A part of all calls, in parts per 10,000.
class Share {
public:
  static constexpr std::uint32_t Whole = 10000;

  constexpr Share() = default;
  constexpr explicit Share(std::uint32_t Parts) : Parts(Parts) {}
  static constexpr Share none() { return Share(0); }
  static constexpr Share all() { return Share(Whole); }

  constexpr std::uint32_t parts() const { return this->Parts; }
  constexpr double fraction() const {
    return static_cast<double>(this->Parts) / Whole;
  }

  friend constexpr auto operator<=>(Share, Share) = default;

private:
  std::uint32_t Parts = 0;
};

using MonotonicClockFunction = std::function<Instant()>;
using WallClockFunction = std::function<WallTime()>;
/// Uniform over all 64-bit values.
using RandomFunction = std::function<std::uint64_t()>;

/// Time since the machine started, with the time in which it was suspended.
Instant monotonicNow();
WallTime wallNow();
/// A generator seeded from the operating system.
RandomFunction systemRandom();
/// The same numbers for the same seed on every machine.
RandomFunction seededRandom(std::uint64_t Seed);

} // namespace amaranthward

#endif
