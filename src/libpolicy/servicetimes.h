#ifndef AMARANTHWARD_LIBPOLICY_SERVICETIMES_H
#define AMARANTHWARD_LIBPOLICY_SERVICETIMES_H

#include "libcore/units.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Estimates the service times of one upstream from recent latencies. Used for
/// estimates of waiting time and for deadline checks.
class ServiceTimes {
public:
  /// Adds the latency of a successful call.
  void add(std::uint32_t Route, Duration Latency, Instant Now);
  /// Minimum service time of a call of the route; zero without recent
  /// measurements. Refused calls add no measurements, so an estimate that did
  /// not expire could refuse calls forever.
  Duration minServiceTime(std::uint32_t Route, Instant Now) const;
  /// Mean service time of a call of the route; zero without recent
  /// measurements.
  Duration meanServiceTime(std::uint32_t Route, Instant Now) const;
  /// Mean over all routes; zero before the first measurement. Does not expire.
  Duration mean() const;

private:
  /// Estimates in microseconds; 0 for none.
  struct RouteTime {
    double MinimumTokens = 0;
    double Mean = 0;
    Instant MeasuredAt;
  };
  /// Indexed by route.
  std::vector<RouteTime> Routes;
  /// Mean over all routes in microseconds.
  double Mean = 0;
};

} // namespace amaranthward

#endif
