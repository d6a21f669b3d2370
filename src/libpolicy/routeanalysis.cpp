#include "libpolicy/routeanalysis.h"

#include <algorithm>

namespace amaranthward {
namespace {

/// Part of the baseline's calls beyond the percentile of the threshold.
constexpr double SlowPart = 0.01;
/// Buckets between that percentile and the threshold, a factor of 1.4: a new
/// version may be a little slower without being bad.
constexpr std::size_t SlowMargin = 2;
constexpr std::uint64_t LatenciesNeeded = 200;
constexpr Duration ThresholdInterval = std::chrono::seconds(10);
constexpr Duration RecentHalfLife = std::chrono::seconds(30);

FaultCount slowOf(const LatencyHistogram &Latency, std::size_t SlowBucket) {
  return {static_cast<double>(Latency.total()),
          static_cast<double>(Latency.countFrom(SlowBucket))};
}

FaultCount failuresOf(const CallCounters &Counters) {
  return {static_cast<double>(Counters.Calls),
          static_cast<double>(Counters.Failures)};
}

} // namespace

const char *toString(FaultKind Kind) {
  return Kind == FaultKind::Failures ? "failures" : "slowness";
}

RouteAnalysis::RouteAnalysis(double Budget)
    : Failures(Budget / 2), Slowness(Budget / 2) {}

void RouteAnalysis::step(Instant Now, const CallCounters &Baseline,
                         const CallCounters &Candidate) {
  CallCounters NewBaseline = this->SeenBaseline.advance(Baseline);
  CallCounters NewCandidate = this->SeenCandidate.advance(Candidate);
  this->CandidateCalls += NewCandidate.Calls;
  this->Failures.step(Now, failuresOf(NewBaseline), failuresOf(NewCandidate));
  this->stepSlowness(Now, NewBaseline.Latency, NewCandidate.Latency);
}

void RouteAnalysis::stepSlowness(Instant Now, const LatencyHistogram &Baseline,
                                 const LatencyHistogram &Candidate) {
  this->Waiting.add(Candidate);
  if (this->SlowBucket < LatencyHistogram::Buckets) {
    this->Slowness.step(Now, slowOf(Baseline, this->SlowBucket),
                        slowOf(this->Waiting, this->SlowBucket));
    this->Waiting = {};
  }
  this->Recent.add(Baseline);
  this->RecentCalls += Baseline.total();
  this->updateThreshold(Now);
}

void RouteAnalysis::updateThreshold(Instant Now) {
  std::uint64_t Calls = this->RecentCalls;
  if (Calls < LatenciesNeeded)
    return;
  bool IsDue = this->ThresholdCalls == 0 ||
               Now - this->ThresholdAt >= ThresholdInterval ||
               Calls >= 2 * this->ThresholdCalls;
  if (!IsDue)
    return;
  if (Now - this->HalvedAt >= RecentHalfLife && this->ThresholdCalls > 0) {
    this->Recent.halve();
    this->RecentCalls = Calls = this->Recent.total();
    this->HalvedAt = Now;
  }
  this->ThresholdCalls = Calls;
  this->ThresholdAt = Now;
  std::size_t Bucket = std::min(this->Recent.bucketAbove(SlowPart) + SlowMargin,
                                LatencyHistogram::Buckets - 1);
  if (Bucket == this->SlowBucket)
    return;
  this->SlowBucket = Bucket;
  this->Slowness.resetBaseline(slowOf(this->Recent, Bucket));
}

void RouteAnalysis::restart() {
  this->Failures.restart();
  this->Slowness.restart();
  this->CandidateCalls = 0;
  this->Waiting = {};
}

Duration RouteAnalysis::slowThreshold() const {
  return this->SlowBucket < LatencyHistogram::Buckets
             ? LatencyHistogram::lowerEdge(this->SlowBucket)
             : Duration::max();
}

} // namespace amaranthward
