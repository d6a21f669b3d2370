#include "libpolicy/colddetector.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

namespace {

/// Logarithm of the mean number of calls between two false alarms.
constexpr double LogRunLength = 20.7; // 1e9
/// Maximum evidence from one call, as a fraction of the threshold, so that a
/// single pause of the upstream does not reach it.
constexpr double MaxEvidencePerCall = 0.4;
/// Upper bound of the latency sum, as a multiple of the threshold, so that
/// normal calls soon outweigh old evidence.
constexpr double MaxSlowEvidence = 2;
/// Assumed fraction of failed calls of a cold upstream.
constexpr double ColdFailureRate = 0.5;
/// Bounds of the failure rate that is assumed for the warm upstream, which is
/// twice the observed rate plus the minimum.
constexpr double MinFailureRate = 0.02;
constexpr double MaxFailureRate = 0.3;
/// Weight of one call in the moving failure rate.
constexpr double FailureRateWeight = 1.0 / 1000;

// A sum with drift d reaches the threshold h by chance about once in
// exp(2 * d * h / variance) calls.
double threshold(double Variance) {
  return Variance * LogRunLength / (2 * ColdDetector::Drift);
}

} // namespace

void ColdDetector::addLatency(double LogRatio, double Variance) {
  double Evidence = (LogRatio - Drift) / threshold(Variance);
  this->SlowEvidence =
      std::clamp(this->SlowEvidence + std::min(Evidence, MaxEvidencePerCall),
                 0.0, MaxSlowEvidence);
}

void ColdDetector::addOutcome(bool Failed) {
  double WarmFailureRate = std::clamp(2 * this->FailureRate + MinFailureRate,
                                      MinFailureRate, MaxFailureRate);
  double Evidence =
      Failed ? std::log(ColdFailureRate / WarmFailureRate)
             : std::log((1 - ColdFailureRate) / (1 - WarmFailureRate));
  this->FailureEvidence =
      std::clamp(this->FailureEvidence + Evidence, 0.0, 2 * FailureThreshold);
  this->FailureRate +=
      ((Failed ? 1.0 : 0.0) - this->FailureRate) * FailureRateWeight;
}

double ColdDetector::overdueEvidence(double LogRatio, double Variance) {
  if (LogRatio <= Drift)
    return 0;
  return std::min((LogRatio - Drift) / threshold(Variance), MaxEvidencePerCall);
}

void ColdDetector::reset() {
  this->SlowEvidence = 0;
  this->FailureEvidence = 0;
}

} // namespace amaranthward
