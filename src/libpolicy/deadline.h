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

  /// The earlier of the route's timeout and the caller's deadline, at most 24 h
  /// from \a Now.
  static Deadline derive(Instant Now, Duration RouteTimeout,
                         Duration CallerTimeLeft = Duration::max());

  Instant at() const { return this->At; }
  /// Time left until the deadline; zero once it has passed.
  Duration left(Instant Now) const;
  bool expired(Instant Now) const { return this->left(Now).count() == 0; }

  /// The deadline for the next hop: earlier by the hop allowance, so that the
  /// next hop times out first and its response still arrives in time.
  Deadline forNextHop(Instant Now) const;

  /// Value of the header Amaranth-Deadline-Ms: milliseconds left, with three
  /// decimals so that a long call chain does not lose up to a millisecond at
  /// each hop.
  std::string toHeader(Instant Now) const;
  /// Milliseconds left, rounded down.
  std::string toWholeMilliseconds(Instant Now) const;
  /// Parses the header: milliseconds left, with at most three decimals. Values
  /// above 24 h become 24 h. Fails with InvalidArgument on any other text.
  static Result<Duration> parseHeader(std::string_view Text);

  friend bool operator==(const Deadline &L, const Deadline &R) {
    return L.At == R.At;
  }
  friend bool operator<(const Deadline &L, const Deadline &R) {
    return L.At < R.At;
  }

  /// The hop allowance is the time left divided by this, within the two limits
  /// below. 42 hops (a chain of 21 calls, each through an entry and a gate)
  /// leave 72% of a short deadline.
  static constexpr int HopDivisor = 128;
  static constexpr Duration MinHopAllowance = std::chrono::microseconds(100);
  static constexpr Duration MaxHopAllowance = std::chrono::milliseconds(10);

private:
  Instant At;
};

} // namespace amaranthward

#endif
