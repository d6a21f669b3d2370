#ifndef AMARANTHWARD_LIBPOLICY_DEADLINE_H
#define AMARANTHWARD_LIBPOLICY_DEADLINE_H

#include "libcore/result.h"
#include "libcore/units.h"
#include <string>
#include <string_view>

namespace amaranthward {

/// The time by which the sender of a call needs the response.
class Deadline {
public:
  Deadline() = default;
  explicit Deadline(Instant At) : At(At) {}

  /// The earlier of the route's timeout and the caller's time left.
  static Deadline derive(Instant Now, Duration RouteTimeout,
                         Duration CallerTimeLeft = Duration::max());

  Instant at() const { return this->At; }
  /// Never negative.
  Duration left(Instant Now) const;
  bool expired(Instant Now) const { return this->left(Now).count() == 0; }

  /// The deadline for the next hop: earlier by the hop allowance, so that the
  /// next hop gives up first and its answer still arrives in time.
  Deadline forNextHop(Instant Now) const;

  /// Value of the header Amaranth-Deadline-Ms: milliseconds left, with three
  /// decimals so that a deep chain does not lose a millisecond at each hop.
  std::string toHeader(Instant Now) const;
  /// The same in whole milliseconds, rounded down.
  std::string toWholeMilliseconds(Instant Now) const;
  /// Time left from the header, whole or decimal milliseconds. Fails with
  /// InvalidArgument on any other text; more than a day counts as a day.
  static Result<Duration> parseHeader(std::string_view Text);

  friend bool operator==(const Deadline &L, const Deadline &R) {
    return L.At == R.At;
  }
  friend bool operator<(const Deadline &L, const Deadline &R) {
    return L.At < R.At;
  }

  /// A hop gets this part of the time left, within the two limits below. 42
  /// hops (depth 21, entry and gate each) leave 72% of a short deadline.
  static constexpr int HopDivisor = 128;
  static constexpr Duration MinHopAllowance = std::chrono::microseconds(100);
  static constexpr Duration MaxHopAllowance = std::chrono::milliseconds(10);

private:
  Instant At;
};

} // namespace amaranthward

#endif
