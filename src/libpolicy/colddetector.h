#ifndef AMARANTHWARD_LIBPOLICY_COLDDETECTOR_H
#define AMARANTHWARD_LIBPOLICY_COLDDETECTOR_H

namespace amaranthward {

/// Detects that a warm upstream became cold with two cumulative sum (CUSUM)
/// tests: one over log latency ratios to the warm baseline, one over failures.
class ColdDetector {
public:
  /// Adds a successful call. \a LogRatio is log(latency / baseline), \a
  /// Variance the variance of the log latency in the baseline.
  void addLatency(double LogRatio, double Variance);
  /// Adds a completed call to the test of failures.
  void addOutcome(bool Failed);
  /// Evidence from a call that is still running, as a fraction of the
  /// threshold. \a LogRatio is log(time since its start / baseline).
  static double overdueEvidence(double LogRatio, double Variance);

  /// \a OverdueSum is the sum of overdueEvidence() over the running calls.
  bool isCold(double OverdueSum) const {
    return this->SlowEvidence + OverdueSum >= 1 ||
           this->FailureEvidence >= FailureThreshold;
  }
  /// Whether there is little evidence of a cold upstream, so that latencies may
  /// be added to the baseline.
  bool isStable() const {
    return this->SlowEvidence < 0.25 && this->FailureEvidence <= 0;
  }
  /// Clears both sums and keeps the estimated failure rate.
  void reset();

  /// Drift of the latency test: half of log(3), which is optimal for detecting
  /// that latencies tripled.
  static constexpr double Drift = 0.55;

private:
  /// Log likelihood ratio at which the failures show a cold upstream.
  static constexpr double FailureThreshold = 9.2; ///< log(10,000)

  /// Sum of the latency test, as a fraction of its threshold.
  double SlowEvidence = 0;
  /// Sum of the failure test, as a log likelihood ratio.
  double FailureEvidence = 0;
  /// Moving mean of the fraction of failed calls.
  double FailureRate = 0;
};

} // namespace amaranthward

#endif
