#include "analysismethods.h"

#include "waldbound.h"
#include <algorithm>
#include <boost/math/special_functions/beta.hpp>
#include <cmath>
#include <memory>

namespace amaranthward {
namespace {

constexpr Duration StepTime = std::chrono::milliseconds(100);

struct Sums {
  FaultCount Baseline;
  FaultCount Candidate;

  void add(FaultCount NewBaseline, FaultCount NewCandidate) {
    this->Baseline.add(NewBaseline);
    this->Candidate.add(NewCandidate);
  }
  double usualRate() const { return std::max(1e-6, this->Baseline.rate()); }
};

AnalysisMethod makeMixture() {
  auto Test = std::make_shared<RateEvidence>(FalseAlarmBudget);
  auto Now = std::make_shared<Instant>();
  return [Test, Now](FaultCount Baseline, FaultCount Candidate) {
    *Now += StepTime;
    Test->step(*Now, Baseline, Candidate);
    return Test->candidateBad();
  };
}

AnalysisMethod makeFixedThreshold() {
  auto All = std::make_shared<Sums>();
  return [All](FaultCount Baseline, FaultCount Candidate) {
    constexpr double LeastCalls = 20;
    constexpr double MostFaults = 0.05;
    All->add(Baseline, Candidate);
    return All->Candidate.Calls >= LeastCalls &&
           All->Candidate.rate() > MostFaults;
  };
}

/// Tested again after each call, as a rollout without a horizon must.
AnalysisMethod makeWelch() {
  auto All = std::make_shared<Sums>();
  return [All](FaultCount Baseline, FaultCount Candidate) {
    constexpr double LeastCalls = 10;
    constexpr double NormalQuantile = 3.719;
    All->add(Baseline, Candidate);
    if (All->Candidate.Calls < LeastCalls)
      return false;
    double Bad = All->Candidate.rate();
    double Good = All->usualRate();
    double Variance = Bad * (1 - Bad) / (All->Candidate.Calls - 1) +
                      Good * (1 - Good) / (All->Baseline.Calls - 1);
    return Bad - Good > NormalQuantile * std::sqrt(Variance);
  };
}

/// One alternative of 10% against the baseline's estimate.
AnalysisMethod makePlainSprt() {
  auto All = std::make_shared<Sums>();
  auto Ratio = std::make_shared<double>(0);
  return [All, Ratio](FaultCount Baseline, FaultCount Candidate) {
    constexpr double Alternative = 0.1;
    All->add(Baseline, Candidate);
    double Good = All->usualRate();
    double Fine = Candidate.Calls - Candidate.Faults;
    *Ratio += Candidate.Faults * std::log(Alternative / Good) +
              Fine * std::log((1 - Alternative) / (1 - Good));
    return *Ratio >= std::log(1 / FalseAlarmBudget);
  };
}

/// Posterior probability that the candidate's rate exceeds the baseline's.
AnalysisMethod makeBetaBinomial() {
  auto All = std::make_shared<Sums>();
  return [All](FaultCount Baseline, FaultCount Candidate) {
    constexpr double Prior = 0.5;
    All->add(Baseline, Candidate);
    double Faults = All->Candidate.Faults;
    if (Faults == 0)
      return false;
    double Fine = All->Candidate.Calls - Faults;
    double Below =
        boost::math::ibeta(Faults + Prior, Fine + Prior, All->usualRate());
    return Below < FalseAlarmBudget;
  };
}

} // namespace

std::vector<NamedMethod> analysisMethods() {
  return {{"mixture", makeMixture},
          {"fixed limit", makeFixedThreshold},
          {"Welch's t", makeWelch},
          {"plain SPRT", makePlainSprt},
          {"beta-binomial", makeBetaBinomial}};
}

} // namespace amaranthward
