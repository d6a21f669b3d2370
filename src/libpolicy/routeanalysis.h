#ifndef AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H
#define AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H

#include "libpolicy/observation.h"
#include "libpolicy/rateevidence.h"

namespace amaranthward {

enum class FaultKind { Failures, Slowness };

const char *toString(FaultKind Kind);

/// Evidence on the two kinds of fault of one route. A call is slow when its
/// latency lies clearly above the 99th percentile of the baseline's recent
/// latencies.
class RouteAnalysis {
public:
  /// \a Budget is the false alarm probability of this route.
  explicit RouteAnalysis(double Budget);

  /// Takes cumulative counters; counters that have fallen are ignored.
  void step(Instant Now, const CallCounters &Baseline,
            const CallCounters &Candidate);
  /// Forgets the evidence on the candidate and keeps the baseline.
  void restart();

  const RateEvidence &failures() const { return this->Failures; }
  const RateEvidence &slowness() const { return this->Slowness; }
  std::uint64_t candidateCalls() const { return this->CandidateCalls; }
  /// Latency from which a call is slow; Duration::max() while unknown.
  Duration slowThreshold() const;

private:
  void updateThreshold(Instant Now);
  void stepSlowness(Instant Now, const LatencyHistogram &Baseline,
                    const LatencyHistogram &Candidate);

  RateEvidence Failures;
  RateEvidence Slowness;
  /// Totals at the last step.
  CallCounters SeenBaseline;
  CallCounters SeenCandidate;
  std::uint64_t CandidateCalls = 0;
  /// Baseline latencies from which the threshold of slowness is taken.
  LatencyHistogram Recent;
  std::uint64_t RecentCalls = 0;
  /// Candidate latencies seen before the threshold was known.
  LatencyHistogram Waiting;
  std::size_t SlowBucket = LatencyHistogram::Buckets;
  std::uint64_t ThresholdCalls = 0;
  Instant ThresholdAt;
  Instant HalvedAt;
};

} // namespace amaranthward

#endif
