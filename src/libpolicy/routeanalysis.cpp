#include "libpolicy/routeanalysis.h"

#include <algorithm>

namespace amaranthward {
namespace {

/// Fraction of the baseline's calls above the percentile (the 99th) on which
/// the slowness threshold is based.
constexpr double SlowFraction = 0.01;
/// Histogram buckets between that percentile and the threshold, a factor of
/// 1.4, so that a slightly slower version does not count as bad.
constexpr std::size_t SlowMarginBuckets = 2;
/// Baseline latencies needed before the threshold is computed. With fewer than
/// 100 the threshold lies above all of them.
constexpr std::uint64_t MinBaselineLatencies = 20;
/// Time after which the threshold is computed again; sooner when the number of
/// latencies has doubled.
constexpr Duration ThresholdInterval = std::chrono::seconds(10);
/// Minimum time between two halvings of the recent latency counts.
constexpr Duration RecentHalfLife = std::chrono::seconds(30);

FaultCount slowCallsOf(const LatencyHistogram &Latency,
                       std::size_t SlowBucket) {
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
  CallCounters NewBaseline = this->LastBaseline.advance(Baseline);
  CallCounters NewCandidate = this->LastCandidate.advance(Candidate);
  this->CandidateCalls += NewCandidate.Calls;
  this->Failures.step(Now, failuresOf(NewBaseline), failuresOf(NewCandidate));
  this->stepSlowness(Now, NewBaseline.Latency, NewCandidate.Latency);
}

void RouteAnalysis::stepSlowness(Instant Now, const LatencyHistogram &Baseline,
                                 const LatencyHistogram &Candidate) {
  this->PendingCandidate.add(Candidate);
  if (this->SlowBucket < LatencyHistogram::Buckets) {
    this->Slowness.step(Now, slowCallsOf(Baseline, this->SlowBucket),
                        slowCallsOf(this->PendingCandidate, this->SlowBucket));
    this->PendingCandidate = {};
  }
  this->RecentLatencies.add(Baseline);
  this->RecentLatencyCount += Baseline.total();
  this->updateThreshold(Now);
}

void RouteAnalysis::updateThreshold(Instant Now) {
  std::uint64_t Calls = this->RecentLatencyCount;
  if (Calls < MinBaselineLatencies)
    return;
  bool IsDue = this->ThresholdLatencyCount == 0 ||
               Now - this->ThresholdUpdatedAt >= ThresholdInterval ||
               Calls >= 2 * this->ThresholdLatencyCount;
  if (!IsDue)
    return;
  if (Now - this->LastHalvedAt >= RecentHalfLife &&
      this->ThresholdLatencyCount > 0) {
    this->RecentLatencies.halve();
    this->RecentLatencyCount = Calls = this->RecentLatencies.total();
    this->LastHalvedAt = Now;
  }
  this->ThresholdLatencyCount = Calls;
  this->ThresholdUpdatedAt = Now;
  std::size_t Bucket = std::min(
      this->RecentLatencies.bucketAbove(SlowFraction) + SlowMarginBuckets,
      LatencyHistogram::Buckets - 1);
  if (Bucket == this->SlowBucket)
    return;
  this->SlowBucket = Bucket;
  this->Slowness.resetBaseline(slowCallsOf(this->RecentLatencies, Bucket));
}

void RouteAnalysis::resetCandidate() {
  this->Failures.resetCandidate();
  this->Slowness.resetCandidate();
  this->CandidateCalls = 0;
  this->PendingCandidate = {};
}

double RouteAnalysis::goodCalls() const {
  return std::min(this->Failures.goodCalls(), this->Slowness.goodCalls());
}

bool RouteAnalysis::hasBaseline() const {
  return this->Failures.hasBaseline() && this->Slowness.hasBaseline();
}

Duration RouteAnalysis::slowThreshold() const {
  return this->SlowBucket < LatencyHistogram::Buckets
             ? LatencyHistogram::lowerEdge(this->SlowBucket)
             : Duration::max();
}

} // namespace amaranthward
