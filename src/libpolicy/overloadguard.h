#ifndef AMARANTHWARD_LIBPOLICY_OVERLOADGUARD_H
#define AMARANTHWARD_LIBPOLICY_OVERLOADGUARD_H

#include "libcore/units.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace amaranthward {

/// Decides whether a call may wait at an overloaded gate, where waiting calls
/// were recently refused because they could no longer end in time. A call that
/// would miss its objective is then refused on arrival, while its caller still
/// has time for another attempt.
///
/// The decision is made per route with hysteresis, so that calls that arrive
/// together are all admitted or all refused: when an upstream makes two calls
/// for one request and one of them is refused, the work of the other is wasted.
class OverloadGuard {
public:
  /// Records that a waiting call was refused because it could no longer end in
  /// time. The gate counts as overloaded from now on.
  void recordInfeasibleCall(Instant Now) { this->LastRefusal = Now; }
  /// Whether a call of the route may wait. A refusal prolongs the overload.
  /// \param Wait estimated time until the call would start.
  /// \param MaxWait longest wait with which the call meets its objective.
  bool mayWait(std::uint32_t Route, Duration Wait, Duration MaxWait,
               Instant Now);

  /// The overload ends when no call was refused for this time, which is about
  /// the duration of the longest calls.
  static constexpr Duration OverloadTimeout = std::chrono::seconds(1);
  /// A refused route is admitted again when the estimated wait is at most the
  /// longest wait divided by this.
  static constexpr int ReopenDivisor = 2;

private:
  bool isOverloaded(Instant Now) const;

  /// None before the first refusal.
  std::optional<Instant> LastRefusal;
  /// Whether calls are refused at present, indexed by route.
  std::vector<bool> RefusedRoutes;
};

} // namespace amaranthward

#endif
