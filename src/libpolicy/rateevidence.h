#ifndef AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H
#define AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H

#include "libcore/units.h"
#include <array>
#include <cstdint>
#include <optional>

namespace amaranthward {

/// Calls, and how many of them had the fault.
struct FaultCount {
  double Calls = 0;
  double Faults = 0;

  void add(FaultCount Other);
  void scale(double Factor);
  double rate() const;
};

/// Sequential test of whether a candidate's fault rate exceeds the baseline's:
/// a mixture of likelihood ratios over several alternative rates and over the
/// step at which the fault began.
///
/// With R(j) the ratio of alternative j and w(i) the weight of a fault that
/// begins at step i, each step sets R(j) = (R(j) + w(i)) * L(j), where L(j) is
/// the likelihood ratio of the step's calls. The weights add up to 1, so the
/// mean of all R(j) is a supermartingale that starts at 1 or less as long as
/// the candidate is no worse than the baseline's upper estimate, and exceeds
/// 1/Budget with probability Budget at most.
class RateEvidence {
public:
  /// \a Budget is the false alarm probability over the whole move.
  explicit RateEvidence(double Budget);

  /// Takes the calls of both versions since the last step.
  void step(Instant Now, FaultCount Baseline, FaultCount Candidate);

  /// Replaces what is known of the baseline, for use when the definition of a
  /// fault has changed.
  void resetBaseline(FaultCount Baseline);
  /// Forgets the evidence on the candidate and keeps the baseline.
  void restart();

  bool bad() const { return this->Bad; }
  /// The candidate is probably bad, but the concurrent baseline does not yet
  /// show that it fares better. False once \a bad is true.
  bool suspect() const { return this->Suspect; }
  /// Natural logarithm of the mixture likelihood ratio.
  double evidence() const;
  /// Upper estimate of the baseline's rate used by the last step.
  double baselineRate() const { return this->UpperRate; }
  /// The candidate's rate over the last seconds.
  double candidateRate() const { return this->RecentCandidate.rate(); }

private:
  static constexpr std::size_t Alternatives = 6;
  static constexpr std::size_t Contrasts = 3;

  void updateBaseline(Instant Now, FaultCount Baseline, FaultCount Candidate);
  void updateRatios(FaultCount Candidate);
  void updateContrasts(Instant Now, FaultCount Baseline, FaultCount Candidate);
  /// The ratio of one odds ratio with the open stratum added.
  double contrast(std::size_t At) const;
  bool isAlone() const;
  bool isContrasted() const;
  void conclude();

  double Threshold;
  bool Bad = false;
  bool Suspect = false;
  double UpperRate = 1;
  std::uint64_t Steps = 0;
  std::array<double, Alternatives> Ratios = {};
  /// Per odds ratio, logarithm of the likelihood ratio of how the faults of
  /// both versions divide between them, restarted at zero.
  std::array<double, Contrasts> Divided = {};
  /// Calls of both versions that are compared as one, as their shares are
  /// nearly constant in that time.
  FaultCount StratumBaseline;
  FaultCount StratumCandidate;
  Instant StratumBegan;
  /// Candidate calls seen before the baseline was known.
  FaultCount Waiting;
  FaultCount Baseline;
  FaultCount RecentBaseline;
  FaultCount RecentCandidate;
  std::optional<Instant> LastStepAt;
};

} // namespace amaranthward

#endif
