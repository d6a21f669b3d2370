#ifndef AMARANTHWARD_LIBPOLICY_COLDDETECTOR_H
#define AMARANTHWARD_LIBPOLICY_COLDDETECTOR_H

namespace amaranthward {

/// Finds that a warm upstream became cold: two cumulative sums, one of log
/// latency ratios against the warm baseline and one of failures.
class ColdDetector {
public:
  /// \a LogRatio is log(latency / baseline), \a Variance that of the baseline.
  void addLatency(double LogRatio, double Variance);
  void addOutcome(bool Failed);
  /// Evidence that a running call gives already, as a part of the threshold:
  /// the call takes \a LogRatio longer than the baseline so far.
  static double overdue(double LogRatio, double Variance);

  /// \a Overdue is the sum over the running calls.
  bool isCold(double Overdue) const {
    return this->Slow + Overdue >= 1 || this->Failing >= FailureThreshold;
  }
  /// Nothing unusual lately, so latencies may enter the baseline.
  bool isQuiet() const { return this->Slow < 0.25 && this->Failing <= 0; }
  /// Keeps the learned rate of failures.
  void reset();

  /// Half of log(3): latencies that tripled are found as fast as possible.
  static constexpr double Drift = 0.55;

private:
  static constexpr double FailureThreshold = 9.2; ///< log(10,000)

  double Slow = 0;
  double Failing = 0;
  double FailureRate = 0;
};

} // namespace amaranthward

#endif
