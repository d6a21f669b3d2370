#include "libpolicy/rateevidence.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {
namespace {

/// The mixture is kept from exceeding what a verdict needs by more than this
/// factor. Without it, the evidence from a disturbance of both versions took 20
/// seconds of good calls to fade.
constexpr double ExcessKept = 3;

/// Alternative rates, as the part of the way from the baseline's rate to 1.
constexpr std::array<double, 6> AlternativeParts = {0.02, 0.06, 0.15,
                                                    0.35, 0.65, 0.95};
/// Odds ratios of the comparison with the concurrent baseline.
constexpr std::array<double, 3> OddsRatios = {4, 30, 300};
/// Logarithm of 10,000: on one route, a disturbance that strikes both versions
/// alike passes the comparison at one odds ratio with probability 1/10,000 at
/// most. 1/1,000 let a 3.4% disturbance at a share of 70% convict a good
/// version in 1 of 300 seeds.
constexpr double ContrastNeeded = 9.2;

/// Calls or time after which a new stratum begins. Strata of single calls would
/// take the part of the candidate from too few calls.
constexpr double StratumCalls = 200;
constexpr Duration StratumTime = std::chrono::seconds(1);

/// Baseline calls below which nothing is concluded.
constexpr double BaselineNeeded = 200;
constexpr Duration BaselineMemory = std::chrono::seconds(60);
constexpr Duration RecentMemory = std::chrono::seconds(2);
/// Standard deviations above the estimate. The candidate has far fewer calls
/// than the baseline when it is new, so its own noise outweighs the error of
/// the estimate.
constexpr double UpperDeviations = 1;

/// Part of all calls beyond which the candidate has no concurrent baseline.
constexpr double AlonePart = 0.98;
/// Allowance, without a concurrent baseline, for rates that change with time
/// and load.
constexpr double AloneFactor = 1.5;
constexpr double AloneMargin = 0.002;
/// Likelihood ratio from which a candidate is suspect, as a part of what a
/// verdict needs. A false suspicion only lowers a share for some seconds.
constexpr double SuspectPart = 0.003;

constexpr double LowestRate = 1e-6;
constexpr double HighestRate = 0.9;

/// Weight of a fault that begins at \a Step. The first step has 1/2 for
/// versions that are bad from the start; the others add up to 1/2.
double startWeight(std::uint64_t Step) {
  constexpr double Spread = 64;
  if (Step == 0)
    return 0.5;
  double At = static_cast<double>(Step - 1) + Spread;
  return 0.5 * Spread / (At * (At + 1));
}

/// Upper end of the Wilson interval.
double upperRate(FaultCount Count) {
  constexpr double Z = UpperDeviations;
  double N = Count.Calls;
  if (N <= 0)
    return 1;
  double K = std::min(Count.Faults, N);
  double Spread = Z * std::sqrt(K * (1 - K / N) + Z * Z / 4);
  return (K + Z * Z / 2 + Spread) / (N + Z * Z);
}

/// Whether \a Count has clearly more faults than \a Rate explains.
bool isSurprising(FaultCount Count, double Rate) {
  double Expected = Rate * Count.Calls;
  return Count.Faults > Expected + 3 * std::sqrt(Expected) + 1;
}

double decay(Duration Elapsed, Duration Memory) {
  return std::exp(-static_cast<double>(Elapsed.count()) /
                  static_cast<double>(Memory.count()));
}

} // namespace

void FaultCount::add(FaultCount Other) {
  this->Calls += Other.Calls;
  this->Faults += Other.Faults;
}

void FaultCount::scale(double Factor) {
  this->Calls *= Factor;
  this->Faults *= Factor;
}

double FaultCount::rate() const {
  return this->Calls > 0 ? this->Faults / this->Calls : 0;
}

RateEvidence::RateEvidence(double Budget) : Threshold(1 / Budget) {}

void RateEvidence::step(Instant Now, FaultCount Baseline,
                        FaultCount Candidate) {
  if (this->Bad)
    return;
  this->updateBaseline(Now, Baseline, Candidate);
  this->updateContrasts(Now, Baseline, Candidate);
  this->Waiting.add(Candidate);
  if (this->Baseline.Calls < BaselineNeeded || this->Waiting.Calls <= 0)
    return;
  this->updateRatios(this->Waiting);
  this->Waiting = {};
  this->conclude();
}

void RateEvidence::updateBaseline(Instant Now, FaultCount Baseline,
                                  FaultCount Candidate) {
  Duration Elapsed = Now - this->LastStepAt.value_or(Now);
  this->LastStepAt = Now;
  this->RecentBaseline.scale(decay(Elapsed, RecentMemory));
  this->RecentCandidate.scale(decay(Elapsed, RecentMemory));
  this->RecentBaseline.add(Baseline);
  this->RecentCandidate.add(Candidate);
  // Time without baseline calls is no reason to forget the baseline.
  if (Baseline.Calls > 0)
    this->Baseline.scale(decay(Elapsed, BaselineMemory));
  double Usual = this->Baseline.rate();
  bool IsKnown = this->Baseline.Calls >= BaselineNeeded;
  this->Baseline.add(Baseline);
  this->UpperRate = upperRate(this->Baseline);
  for (FaultCount Count : {Baseline, this->RecentBaseline})
    if (IsKnown && isSurprising(Count, Usual))
      this->UpperRate = std::max(this->UpperRate, upperRate(Count));
  if (this->isAlone())
    this->UpperRate = this->UpperRate * AloneFactor + AloneMargin;
  this->UpperRate = std::clamp(this->UpperRate, LowestRate, HighestRate);
}

void RateEvidence::updateRatios(FaultCount Candidate) {
  double Weight = startWeight(this->Steps++);
  double Good = Candidate.Calls - Candidate.Faults;
  for (std::size_t At = 0; At < Alternatives; ++At) {
    double Rate =
        this->UpperRate + (1 - this->UpperRate) * AlternativeParts[At];
    double PerFault = std::log(Rate / this->UpperRate);
    double PerGood = std::log1p(-AlternativeParts[At]);
    double Likelihood = std::exp(Candidate.Faults * PerFault + Good * PerGood);
    double Ratio = (this->Ratios[At] + Weight) * Likelihood;
    this->Ratios[At] =
        std::min(Ratio, this->Threshold * Alternatives * ExcessKept);
  }
}

void RateEvidence::updateContrasts(Instant Now, FaultCount Baseline,
                                   FaultCount Candidate) {
  double Calls = this->StratumBaseline.Calls + this->StratumCandidate.Calls;
  if (Calls >= StratumCalls || Now - this->StratumBegan >= StratumTime) {
    for (std::size_t At = 0; At < Contrasts; ++At)
      this->Divided[At] = this->contrast(At);
    this->StratumBaseline = {};
    this->StratumCandidate = {};
    this->StratumBegan = Now;
  }
  this->StratumBaseline.add(Baseline);
  this->StratumCandidate.add(Candidate);
}

double RateEvidence::contrast(std::size_t At) const {
  double Calls = this->StratumBaseline.Calls + this->StratumCandidate.Calls;
  if (Calls <= 0)
    return this->Divided[At];
  double Part = this->StratumCandidate.Calls / Calls;
  double Faults = this->StratumBaseline.Faults + this->StratumCandidate.Faults;
  double Odds = OddsRatios[At];
  double Added = this->StratumCandidate.Faults * std::log(Odds) -
                 Faults * std::log(Part * Odds + 1 - Part);
  return std::max(0.0, this->Divided[At] + Added);
}

bool RateEvidence::isAlone() const {
  double Calls = this->RecentBaseline.Calls + this->RecentCandidate.Calls;
  return this->RecentCandidate.Calls > AlonePart * Calls;
}

bool RateEvidence::isContrasted() const {
  for (std::size_t At = 0; At < Contrasts; ++At)
    if (this->contrast(At) >= ContrastNeeded)
      return true;
  return false;
}

void RateEvidence::conclude() {
  double Evidence = this->evidence();
  this->Bad = Evidence >= std::log(this->Threshold) && this->isContrasted();
  this->Suspect =
      !this->Bad && Evidence >= std::log(this->Threshold * SuspectPart);
}

void RateEvidence::resetBaseline(FaultCount Baseline) {
  this->Baseline = Baseline;
  this->RecentBaseline = {};
}

void RateEvidence::restart() {
  this->Bad = false;
  this->Suspect = false;
  this->Steps = 0;
  this->Ratios = {};
  this->Divided = {};
  this->StratumBaseline = {};
  this->StratumCandidate = {};
  this->Waiting = {};
  this->RecentCandidate = {};
}

double RateEvidence::evidence() const {
  double Sum = 0;
  for (double Ratio : this->Ratios)
    Sum += Ratio;
  return std::log(std::max(Sum / Alternatives, 1e-300));
}

} // namespace amaranthward
