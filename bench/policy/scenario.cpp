#include "scenario.h"

#include "traffic.h"
#include "waldbound.h"
#include <algorithm>

namespace amaranthward {

bool SessionResult::isConvicted() const {
  const MoveState *Last = this->last();
  return Last && (this->Reverted || Last->Reason == MoveReason::BadVersion);
}

double waldBoundOf(const Scenario &Of) {
  double Good = Of.BaselineFailures;
  double Calls = 1e9;
  if (!Of.Bad)
    return Calls;
  if (Of.Bad->FailureRate > 0)
    Calls = waldBound(Good + (1 - Good) * Of.Bad->FailureRate, Good);
  if (Of.Bad->SlowFactor <= 1)
    return Calls;
  LatencySource Latencies(Of.Median, Of.Sigma);
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::Buckets; ++Bucket) {
    Duration Edge = LatencyHistogram::lowerEdge(Bucket);
    if (Latencies.partFrom(Edge) > 0.01)
      continue;
    // The analysis takes the threshold two buckets above the percentile.
    Duration Slow = LatencyHistogram::lowerEdge(Bucket + 2);
    double Lowest = 0.5 / 4096;
    double Usual = std::max(Lowest, Latencies.partFrom(Slow));
    double Bad = Latencies.partFrom(Slow, Of.Bad->SlowFactor);
    return std::min(Calls, waldBound(Bad, Usual));
  }
  return Calls;
}

const char *toString(Policy Kind) {
  switch (Kind) {
  case Policy::Paced:
    return "paced";
  case Policy::EvenSplit:
    return "even split";
  case Policy::FixedSteps:
    return "fixed steps";
  case Policy::FixedThresholds:
    return "fixed limits";
  }
  return "unknown";
}

} // namespace amaranthward
