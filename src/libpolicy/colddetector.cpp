#include "libpolicy/colddetector.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

namespace {

/// Log of the calls between two false alarms.
constexpr double LogRunLength = 20.7; // 1e9
/// Part of the threshold that one call can give; a single pause of the
/// upstream is not enough.
constexpr double MostPerCall = 0.4;
/// Bound of the sum, so that old evidence is soon outweighed.
constexpr double MostSlow = 2;
constexpr double ColdFailureRate = 0.5;
constexpr double LeastFailureRate = 0.02;
constexpr double MostFailureRate = 0.3;
constexpr double FailureRateWeight = 1.0 / 1000;

// A sum with this drift reaches h by chance about every exp(2 drift h /
// variance) calls.
double threshold(double Variance) {
  return Variance * LogRunLength / (2 * ColdDetector::Drift);
}

} // namespace

void ColdDetector::addLatency(double LogRatio, double Variance) {
  double Part = (LogRatio - Drift) / threshold(Variance);
  this->Slow =
      std::clamp(this->Slow + std::min(Part, MostPerCall), 0.0, MostSlow);
}

void ColdDetector::addOutcome(bool Failed) {
  double Usual = std::clamp(2 * this->FailureRate + LeastFailureRate,
                            LeastFailureRate, MostFailureRate);
  double Part = Failed ? std::log(ColdFailureRate / Usual)
                       : std::log((1 - ColdFailureRate) / (1 - Usual));
  this->Failing = std::clamp(this->Failing + Part, 0.0, 2 * FailureThreshold);
  this->FailureRate +=
      ((Failed ? 1.0 : 0.0) - this->FailureRate) * FailureRateWeight;
}

double ColdDetector::overdue(double LogRatio, double Variance) {
  if (LogRatio <= Drift)
    return 0;
  return std::min((LogRatio - Drift) / threshold(Variance), MostPerCall);
}

void ColdDetector::reset() {
  this->Slow = 0;
  this->Failing = 0;
}

} // namespace amaranthward
