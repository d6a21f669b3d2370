#ifndef AMARANTHWARD_LIBPOLICY_OBSERVATION_H
#define AMARANTHWARD_LIBPOLICY_OBSERVATION_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libpolicy/latencyhistogram.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Cumulative call counters; they never decrease.
struct CallCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0;
  /// Latencies of the calls that did not fail.
  LatencyHistogram Latency;

  void add(const CallCounters &Other);
  /// Raises each counter to that of \a Other where that is higher.
  void raiseTo(const CallCounters &Other);
  /// The increase since \a Before; zero for a counter that has decreased.
  CallCounters since(const CallCounters &Before) const;
  /// Raises each counter to that of \a Newest where that is higher, and returns
  /// the increase.
  CallCounters advance(const CallCounters &Newest);
  /// Counts one finished call; the latency of a failed call is ignored.
  void count(bool Failed, Duration Latency);

  friend bool operator==(const CallCounters &, const CallCounters &) = default;
};

/// Counters of one process for one version and route of a service.
struct Observation {
  NodeName Reporter;
  /// Random identifier of the period over which the counters are cumulative. A
  /// process starts a new period, with counters from zero, when it starts and
  /// at each new move of the service.
  Incarnation Process;
  ServiceName Service;
  VersionName Version;
  RouteName Route;
  CallCounters Counters;

  /// Object with the keys n (reporter), i (incarnation), s (service), v
  /// (version), r (route), c (calls), f (failures) and h (latency histogram).
  static Json toJson(const Observation &Report);
  /// Fails with InvalidArgument on a missing name, a counter above 2^48, or
  /// more failures and latencies than calls.
  static Result<Observation> fromJson(const Json &Value);

  friend bool operator==(const Observation &, const Observation &) = default;
};

} // namespace amaranthward

#endif
