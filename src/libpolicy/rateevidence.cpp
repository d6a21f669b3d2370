#include "libpolicy/rateevidence.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {
namespace {

/// The likelihood ratios are capped at this factor above what a verdict needs.
/// Without the cap, the evidence from a disturbance of both versions took 20
/// seconds of good calls to decrease again.
constexpr double MaxExcessFactor = 3;

/// Alternative fault rates, as fractions of the distance from the baseline's
/// rate to 1.
constexpr std::array<double, 6> AlternativeFractions = {0.02, 0.06, 0.15,
                                                        0.35, 0.65, 0.95};
/// Alternative fault rate against which good calls count, as a fraction like
/// those above. Versions that fail fewer calls are found by the mixture.
constexpr double GoodAgainstFraction = 0.25;
/// Lower limit of the evidence for a good candidate, a natural logarithm.
/// Without it, a disturbance
/// of both versions would hold up a good one long after it has ended.
constexpr double MinGoodEvidence = 0;
/// Alternative odds ratios for the comparison with the concurrent baseline.
constexpr std::array<double, 3> OddsRatios = {4, 30, 300};
/// Natural logarithm of 10,000: on one route, a disturbance that affects both
/// versions equally passes the comparison at one odds ratio with probability
/// 1/10,000 at most. At 1/1,000, a disturbance with 3.4% faults at a share of
/// 70% made a good version bad in 1 of 300 seeds.
constexpr double MinComparisonEvidence = 9.2;

/// Calls or time after which a new stratum starts. Shorter strata would
/// estimate the candidate's fraction of the calls from too few calls.
constexpr double StratumCalls = 200;
constexpr Duration StratumDuration = std::chrono::seconds(1);

/// Baseline calls needed before the candidate is evaluated.
constexpr double MinBaselineCalls = 20;
/// Time constants of the exponential decay of the counts.
constexpr Duration BaselineTimeConstant = std::chrono::seconds(60);
constexpr Duration RecentTimeConstant = std::chrono::seconds(2);
/// Standard deviations of the upper estimate of the baseline's rate. One is
/// enough for a baseline with this many calls: a new candidate has far fewer,
/// so that its own noise exceeds the error of the estimate. With fewer calls
/// the estimate is wider, so that a route with little traffic is judged sooner,
/// but only on clear evidence.
constexpr double UpperBoundDeviations = 1;
constexpr double MaxUpperBoundDeviations = 3;
constexpr double WellKnownBaselineCalls = 200;

/// Fraction of all recent calls above which the candidate counts as having no
/// concurrent baseline.
constexpr double MaxCandidateFraction = 0.98;
/// Factor and margin that raise the baseline's rate when there is no concurrent
/// baseline, as fault rates change with time and load.
constexpr double UnpairedRateFactor = 1.5;
constexpr double UnpairedRateMargin = 0.002;
/// Likelihood ratio from which a candidate is suspect, as a fraction of that
/// needed for a verdict. Low, because a false suspicion only lowers a share for
/// some seconds.
constexpr double SuspectThresholdFraction = 0.003;

/// Limits of the baseline's rate, so that the alternatives differ from it and
/// the likelihood ratios stay finite.
constexpr double MinBaselineRate = 1e-6;
constexpr double MaxBaselineRate = 0.9;

/// Prior weight of a fault that begins at \a Step. The first step has 1/2, for
/// versions that are bad from the start; the others add up to 1/2.
double startWeight(std::uint64_t Step) {
  constexpr double Spread = 64;
  if (Step == 0)
    return 0.5;
  double Position = static_cast<double>(Step - 1) + Spread;
  return 0.5 * Spread / (Position * (Position + 1));
}

/// Standard deviations for a baseline with \a Calls calls.
double deviationsFor(double Calls) {
  double Wider = std::sqrt(WellKnownBaselineCalls / std::max(Calls, 1.0));
  return std::clamp(UpperBoundDeviations * Wider, UpperBoundDeviations,
                    MaxUpperBoundDeviations);
}

/// Upper end of the Wilson score interval of the fault rate, \a Z standard
/// deviations wide.
double upperRate(FaultCount Count, double Z) {
  double N = Count.Calls;
  if (N <= 0)
    return 1;
  double K = std::min(Count.Faults, N);
  double Spread = Z * std::sqrt(K * (1 - K / N) + Z * Z / 4);
  return (K + Z * Z / 2 + Spread) / (N + Z * Z);
}

/// Whether \a Count has more faults than \a Rate explains, by 3 standard
/// deviations and one fault.
bool exceedsExpected(FaultCount Count, double Rate) {
  double Expected = Rate * Count.Calls;
  return Count.Faults > Expected + 3 * std::sqrt(Expected) + 1;
}

/// Factor of the exponential decay after \a Elapsed.
double decayFactor(Duration Elapsed, Duration TimeConstant) {
  return std::exp(-static_cast<double>(Elapsed.count()) /
                  static_cast<double>(TimeConstant.count()));
}

} // namespace

void FaultCount::add(FaultCount Other) {
  this->Calls += Other.Calls;
  this->Faults += Other.Faults;
}

void FaultCount::scaleBy(double Factor) {
  this->Calls *= Factor;
  this->Faults *= Factor;
}

double FaultCount::rate() const {
  return this->Calls > 0 ? this->Faults / this->Calls : 0;
}

RateEvidence::RateEvidence(double Budget) : Threshold(1 / Budget) {}

void RateEvidence::step(Instant Now, FaultCount Baseline,
                        FaultCount Candidate) {
  if (this->CandidateBad)
    return;
  this->updateBaseline(Now, Baseline, Candidate);
  this->updateComparison(Now, Baseline, Candidate);
  this->PendingCandidate.add(Candidate);
  if (!this->hasBaseline() || this->PendingCandidate.Calls <= 0)
    return;
  this->updateRatios(this->PendingCandidate);
  this->updateGoodEvidence(this->PendingCandidate);
  this->PendingCandidate = {};
  this->updateVerdict();
}

bool RateEvidence::hasBaseline() const {
  return this->Baseline.Calls >= MinBaselineCalls;
}

void RateEvidence::updateBaseline(Instant Now, FaultCount Baseline,
                                  FaultCount Candidate) {
  Duration Elapsed = Now - this->LastStepAt.value_or(Now);
  this->LastStepAt = Now;
  this->RecentBaseline.scaleBy(decayFactor(Elapsed, RecentTimeConstant));
  this->RecentCandidate.scaleBy(decayFactor(Elapsed, RecentTimeConstant));
  this->RecentBaseline.add(Baseline);
  this->RecentCandidate.add(Candidate);
  // The baseline only decays in steps with new baseline calls; otherwise it
  // would be lost while it gets no traffic.
  if (Baseline.Calls > 0)
    this->Baseline.scaleBy(decayFactor(Elapsed, BaselineTimeConstant));
  double KnownRate = this->Baseline.rate();
  bool HadBaseline = this->hasBaseline();
  this->Baseline.add(Baseline);
  this->BaselineUpperRate =
      upperRate(this->Baseline, deviationsFor(this->Baseline.Calls));
  for (FaultCount Count : {Baseline, this->RecentBaseline})
    if (HadBaseline && exceedsExpected(Count, KnownRate))
      this->BaselineUpperRate = std::max(
          this->BaselineUpperRate, upperRate(Count, UpperBoundDeviations));
  if (this->lacksConcurrentBaseline())
    this->BaselineUpperRate =
        this->BaselineUpperRate * UnpairedRateFactor + UnpairedRateMargin;
  this->BaselineUpperRate =
      std::clamp(this->BaselineUpperRate, MinBaselineRate, MaxBaselineRate);
}

void RateEvidence::updateRatios(FaultCount Candidate) {
  double Weight = startWeight(this->Steps++);
  double FaultlessCalls = Candidate.Calls - Candidate.Faults;
  for (std::size_t Index = 0; Index < AlternativeCount; ++Index) {
    double Rate = this->BaselineUpperRate +
                  (1 - this->BaselineUpperRate) * AlternativeFractions[Index];
    double PerFault = std::log(Rate / this->BaselineUpperRate);
    double PerGood = std::log1p(-AlternativeFractions[Index]);
    double Likelihood =
        std::exp(Candidate.Faults * PerFault + FaultlessCalls * PerGood);
    double Ratio = (this->Ratios[Index] + Weight) * Likelihood;
    this->Ratios[Index] =
        std::min(Ratio, this->Threshold * AlternativeCount * MaxExcessFactor);
  }
}

void RateEvidence::updateGoodEvidence(FaultCount Candidate) {
  double Rate = this->BaselineUpperRate +
                (1 - this->BaselineUpperRate) * GoodAgainstFraction;
  double FaultlessCalls = Candidate.Calls - Candidate.Faults;
  this->GoodEvidence -= FaultlessCalls * std::log1p(-GoodAgainstFraction);
  this->GoodEvidence -=
      Candidate.Faults * std::log(Rate / this->BaselineUpperRate);
  this->GoodEvidence = std::max(this->GoodEvidence, MinGoodEvidence);
}

double RateEvidence::goodCalls() const {
  return std::max(0.0, -this->GoodEvidence / std::log1p(-GoodAgainstFraction));
}

void RateEvidence::updateComparison(Instant Now, FaultCount Baseline,
                                    FaultCount Candidate) {
  double Calls = this->StratumBaseline.Calls + this->StratumCandidate.Calls;
  if (Calls >= StratumCalls ||
      Now - this->StratumStartedAt >= StratumDuration) {
    for (std::size_t Index = 0; Index < OddsRatioCount; ++Index)
      this->ComparisonEvidence[Index] = this->comparisonEvidence(Index);
    this->StratumBaseline = {};
    this->StratumCandidate = {};
    this->StratumStartedAt = Now;
  }
  this->StratumBaseline.add(Baseline);
  this->StratumCandidate.add(Candidate);
}

double RateEvidence::comparisonEvidence(std::size_t Index) const {
  double Calls = this->StratumBaseline.Calls + this->StratumCandidate.Calls;
  if (Calls <= 0)
    return this->ComparisonEvidence[Index];
  double CandidateFraction = this->StratumCandidate.Calls / Calls;
  double Faults = this->StratumBaseline.Faults + this->StratumCandidate.Faults;
  double Odds = OddsRatios[Index];
  double Added =
      this->StratumCandidate.Faults * std::log(Odds) -
      Faults * std::log(CandidateFraction * Odds + 1 - CandidateFraction);
  return std::max(0.0, this->ComparisonEvidence[Index] + Added);
}

bool RateEvidence::lacksConcurrentBaseline() const {
  double Calls = this->RecentBaseline.Calls + this->RecentCandidate.Calls;
  return this->RecentCandidate.Calls > MaxCandidateFraction * Calls;
}

bool RateEvidence::isWorseThanBaseline() const {
  for (std::size_t Index = 0; Index < OddsRatioCount; ++Index)
    if (this->comparisonEvidence(Index) >= MinComparisonEvidence)
      return true;
  return false;
}

void RateEvidence::updateVerdict() {
  double Evidence = this->evidence();
  this->CandidateBad =
      Evidence >= std::log(this->Threshold) && this->isWorseThanBaseline();
  this->CandidateSuspect =
      !this->CandidateBad &&
      Evidence >= std::log(this->Threshold * SuspectThresholdFraction);
}

void RateEvidence::resetBaseline(FaultCount Baseline) {
  this->Baseline = Baseline;
  this->RecentBaseline = {};
}

void RateEvidence::resetCandidate() {
  this->CandidateBad = false;
  this->CandidateSuspect = false;
  this->Steps = 0;
  this->Ratios = {};
  this->ComparisonEvidence = {};
  this->StratumBaseline = {};
  this->StratumCandidate = {};
  this->PendingCandidate = {};
  this->GoodEvidence = 0;
  this->RecentCandidate = {};
}

double RateEvidence::evidence() const {
  double Sum = 0;
  for (double Ratio : this->Ratios)
    Sum += Ratio;
  return std::log(std::max(Sum / AlternativeCount, 1e-300));
}

} // namespace amaranthward
