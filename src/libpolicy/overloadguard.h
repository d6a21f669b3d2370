#ifndef AMARANTHWARD_LIBPOLICY_OVERLOADGUARD_H
#define AMARANTHWARD_LIBPOLICY_OVERLOADGUARD_H

#include "libcore/units.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace amaranthward {

/// Decides whether a call may wait at a gate where waiting calls have starved
/// lately: one that would miss its objective is refused on arrival, while its
/// caller has time.
///
/// A route is closed and opened again with a margin, so that calls that arrive
/// together share their fate: when an upstream makes two calls for one run and
/// one of them is refused, the work of the other is wasted.
class OverloadGuard {
public:
  /// A waiting call was refused because it could no longer end in time.
  void starved(Instant Now) { this->LastRefusal = Now; }
  /// \param Wait estimated time until the call would start.
  /// \param Room longest wait with which the call meets its objective.
  bool mayWait(std::uint32_t Route, Duration Wait, Duration Room, Instant Now);

  /// The overload is over when no call was refused for this time, about that of
  /// the longest calls.
  static constexpr Duration Memory = std::chrono::seconds(1);
  /// A closed route opens again at this part of the longest wait.
  static constexpr int OpenDivisor = 2;

private:
  bool isOverloaded(Instant Now) const;

  std::optional<Instant> LastRefusal;
  /// By route: whether its calls are refused at present.
  std::vector<bool> Closed;
};

} // namespace amaranthward

#endif
