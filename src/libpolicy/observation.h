#ifndef AMARANTHWARD_LIBPOLICY_OBSERVATION_H
#define AMARANTHWARD_LIBPOLICY_OBSERVATION_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libpolicy/latencyhistogram.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Cumulative counters; none of them ever decreases.
struct CallCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0;
  /// Latencies of the calls that did not fail.
  LatencyHistogram Latency;

  void add(const CallCounters &Other);
  void raiseTo(const CallCounters &Other);
  /// What was counted after \a Before; a counter that fell counts as unchanged.
  CallCounters since(const CallCounters &Before) const;
  /// Raises to \a Newest and returns what that added.
  CallCounters advance(const CallCounters &Newest);
  /// Records one finished call.
  void count(bool Failed, Duration Latency);

  friend bool operator==(const CallCounters &, const CallCounters &) = default;
};

/// What one process has counted for one version and route.
struct Observation {
  NodeName Reporter;
  /// Random number of the period in which the counters have been rising. A
  /// process begins one at its start and at each new move of the service.
  Incarnation Process;
  ServiceName Service;
  VersionName Version;
  RouteName Route;
  CallCounters Counters;

  /// {"n","i","s","v","r","c","f","h"}: reporter, incarnation, service,
  /// version, route, calls, failures, histogram.
  static Json toJson(const Observation &One);
  /// Fails with InvalidArgument on a missing name or inconsistent counters.
  static Result<Observation> fromJson(const Json &Value);

  friend bool operator==(const Observation &, const Observation &) = default;
};

} // namespace amaranthward

#endif
