#ifndef AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H
#define AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H

#include "libpolicy/observation.h"
#include "libpolicy/rateevidence.h"

namespace amaranthward {

enum class FaultKind { Failures, Slowness };

const char *toString(FaultKind Kind);

/// Evidence on the two kinds of fault of one route.
class RouteAnalysis {
public:
  /// \a Budget is the false alarm probability of this route.
  explicit RouteAnalysis(double Budget);

  /// Takes cumulative counters; counters that have fallen are ignored.
  void step(Instant Now, const CallCounters &Baseline,
            const CallCounters &Candidate);

  const RateEvidence &failures() const { return this->Failures; }
  const RateEvidence &slowness() const { return this->Slowness; }
  std::uint64_t candidateCalls() const { return this->Seen.Calls; }

private:
  void updateThreshold(const CallCounters &Baseline);

  RateEvidence Failures;
  RateEvidence Slowness;
  /// Totals at the last step.
  CallCounters Seen;
  CallCounters SeenBaseline;
  /// Baseline latencies from which the threshold of slowness is taken.
  LatencyHistogram Recent;
  std::size_t SlowBucket = LatencyHistogram::Buckets;
};

} // namespace amaranthward

#endif
