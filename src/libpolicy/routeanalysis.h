#ifndef AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H
#define AMARANTHWARD_LIBPOLICY_ROUTEANALYSIS_H

#include "libpolicy/observation.h"
#include "libpolicy/rateevidence.h"

namespace amaranthward {

/// Failures: the call failed. Slowness: it succeeded, but took longer than the
/// threshold of its route.
enum class FaultKind { Failures, Slowness };

const char *toString(FaultKind Kind);

/// Tests one route for both kinds of fault. A call is slow when its latency is
/// at least about 1.4 times the 99th percentile of the baseline's recent
/// latencies.
class RouteAnalysis {
public:
  /// \a Budget is the false alarm probability of this route, divided equally
  /// between the two kinds of fault.
  explicit RouteAnalysis(double Budget);

  /// Evaluates the calls since the last step. Takes cumulative counters; one
  /// lower than before counts as unchanged.
  void step(Instant Now, const CallCounters &Baseline,
            const CallCounters &Candidate);
  /// Discards the evidence on the candidate and keeps the baseline.
  void resetCandidate();

  const RateEvidence &failures() const { return this->Failures; }
  const RateEvidence &slowness() const { return this->Slowness; }
  /// Calls of the candidate since the start or the last reset.
  std::uint64_t candidateCalls() const { return this->CandidateCalls; }
  /// Calls of both versions since the start.
  std::uint64_t allCalls() const {
    return this->LastBaseline.Calls + this->LastCandidate.Calls;
  }
  /// See RateEvidence::goodCalls(); the lower number of the two kinds of fault.
  double goodCalls() const;
  /// Whether the baseline is known for both kinds of fault.
  bool hasBaseline() const;
  /// Lowest latency that counts as slow; Duration::max() while unknown.
  Duration slowThreshold() const;

private:
  void updateThreshold(Instant Now);
  void stepSlowness(Instant Now, const LatencyHistogram &Baseline,
                    const LatencyHistogram &Candidate);

  RateEvidence Failures;
  RateEvidence Slowness;
  /// Cumulative counters at the last step.
  CallCounters LastBaseline;
  CallCounters LastCandidate;
  std::uint64_t CandidateCalls = 0;
  /// Recent baseline latencies, from which the slowness threshold is computed;
  /// halved every 30 s at most.
  LatencyHistogram RecentLatencies;
  std::uint64_t RecentLatencyCount = 0;
  /// Candidate latencies not yet evaluated, as the threshold is unknown.
  LatencyHistogram PendingCandidate;
  /// First histogram bucket that counts as slow; Buckets while unknown.
  std::size_t SlowBucket = LatencyHistogram::Buckets;
  /// Number of recent latencies when the threshold was last computed.
  std::uint64_t ThresholdLatencyCount = 0;
  Instant ThresholdUpdatedAt;
  Instant LastHalvedAt;
};

} // namespace amaranthward

#endif
