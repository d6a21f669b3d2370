#ifndef AMARANTHWARD_LIBPOLICY_ROUTESHARES_H
#define AMARANTHWARD_LIBPOLICY_ROUTESHARES_H

#include "libcore/units.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Tracks for one upstream which fraction of each route's recent calls it
/// started, in order to serve routes of the same rank alike under overload.
/// Otherwise routes with short calls or early deadlines would take all slots.
class RouteShares {
public:
  /// Time constant of the exponential decay: after it a call counts 37%. Longer
  /// than several bursts, so that a single burst does not decide.
  static constexpr Duration DecayTime = std::chrono::seconds(2);
  /// Routes whose started fractions differ by no more than this count as equal.
  static constexpr double Tolerance = 0.1;

  /// Counts a call that arrived at the gate.
  void recordRequest(std::uint32_t Route, Instant Now);
  /// Counts a call that was sent to the upstream.
  void recordStart(std::uint32_t Route, Instant Now);
  /// Removes a call from the count that its caller cancelled before it started.
  void recordCancelled(std::uint32_t Route);

  /// Fraction of the recent calls that started, from 0 to 1; 1 for a route
  /// without recent calls.
  double startedFraction(std::uint32_t Route) const;
  /// Whether the fraction of \a Route is below that of \a Other by more than
  /// the tolerance.
  bool isBehind(std::uint32_t Route, std::uint32_t Other) const {
    return this->startedFraction(Route) + Tolerance <
           this->startedFraction(Other);
  }
  /// Whether a route that had calls within DecayTime is behind \a Route.
  bool isAhead(std::uint32_t Route, Instant Now) const;

private:
  /// Decayed counts of a route as of the time \a At.
  struct Counts {
    double Requested = 0;
    double Started = 0;
    Instant At;
  };

  /// Counts of the route, decayed to \a Now.
  Counts &at(std::uint32_t Route, Instant Now);

  /// Indexed by route.
  std::vector<Counts> Routes;
};

} // namespace amaranthward

#endif
