#ifndef AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H
#define AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H

#include "libcore/units.h"
#include <array>
#include <cstdint>
#include <optional>

namespace amaranthward {

/// Number of calls, and of those with the fault; fractional, as old counts are
/// weighted down.
struct FaultCount {
  double Calls = 0;
  double Faults = 0;

  void add(FaultCount Other);
  void scaleBy(double Factor);
  /// Faults per call; 0 without calls.
  double rate() const;
};

/// Sequential test of whether a candidate's fault rate exceeds the baseline's:
/// a mixture of likelihood ratios over several alternative rates and over the
/// step at which the fault began. A verdict also needs a comparison with
/// concurrent baseline calls, to exclude a disturbance that affects both
/// versions.
///
/// With R(j) the ratio of alternative j and w(i) the weight of a fault that
/// begins at step i, each step sets R(j) = (R(j) + w(i)) * L(j), where L(j) is
/// the likelihood ratio of the step's calls. The weights add up to 1, so the
/// mean of all R(j) is a supermartingale that starts at 1 or less as long as
/// the candidate is no worse than the baseline's upper estimate, and exceeds
/// 1/Budget with probability Budget at most.
class RateEvidence {
public:
  /// \a Budget is the false alarm probability over the whole move, in (0, 1).
  explicit RateEvidence(double Budget);

  /// Evaluates the calls of both versions since the last step. Does nothing
  /// once the candidate is bad.
  void step(Instant Now, FaultCount Baseline, FaultCount Candidate);

  /// Replaces the counts of the baseline; needed when the definition of a fault
  /// (the slowness threshold) has changed.
  void resetBaseline(FaultCount Baseline);
  /// Discards the evidence on the candidate and keeps the baseline.
  void resetCandidate();

  /// Whether the candidate is worse than the baseline; stays true until
  /// resetCandidate().
  bool candidateBad() const { return this->CandidateBad; }
  /// Whether the candidate is probably bad, while too few concurrent baseline
  /// calls show that the baseline is better. False once candidateBad() is true.
  bool candidateSuspect() const { return this->CandidateSuspect; }
  /// Whether the baseline has had enough calls to compare the candidate with.
  bool hasBaseline() const;
  /// Evidence that the candidate is no worse than the baseline, against the
  /// alternative that a quarter of its calls have the fault: the number of
  /// calls without a fault that would show as much. Calls that wait for a
  /// baseline do not count; a fault outweighs several good calls.
  double goodCalls() const;
  /// Natural logarithm of the mixture likelihood ratio.
  double evidence() const;
  /// Upper estimate of the baseline's fault rate that the last step used.
  double baselineRate() const { return this->BaselineUpperRate; }
  /// The candidate's fault rate over about the last 2 seconds.
  double candidateRate() const { return this->RecentCandidate.rate(); }

private:
  static constexpr std::size_t AlternativeCount = 6;
  static constexpr std::size_t OddsRatioCount = 3;

  void updateBaseline(Instant Now, FaultCount Baseline, FaultCount Candidate);
  void updateRatios(FaultCount Candidate);
  void updateGoodEvidence(FaultCount Candidate);
  void updateComparison(Instant Now, FaultCount Baseline, FaultCount Candidate);
  /// ComparisonEvidence at \a Index with the open stratum included.
  double comparisonEvidence(std::size_t Index) const;
  /// Whether nearly all recent calls went to the candidate.
  bool lacksConcurrentBaseline() const;
  /// Whether concurrent baseline calls show that the candidate is worse.
  bool isWorseThanBaseline() const;
  void updateVerdict();

  /// Likelihood ratio needed for a verdict: 1/Budget.
  double Threshold;
  bool CandidateBad = false;
  bool CandidateSuspect = false;
  double BaselineUpperRate = 1;
  std::uint64_t Steps = 0;
  /// R(j) of each alternative rate.
  std::array<double, AlternativeCount> Ratios = {};
  /// For each odds ratio, the logarithm of the likelihood ratio of how the
  /// faults of closed strata are distributed between the versions; never below
  /// zero.
  std::array<double, OddsRatioCount> ComparisonEvidence = {};
  /// Calls of both versions in the open stratum, a period short enough that the
  /// shares of the versions are nearly constant.
  FaultCount StratumBaseline;
  FaultCount StratumCandidate;
  Instant StratumStartedAt;
  /// Candidate calls not yet evaluated, as the baseline has too few calls.
  FaultCount PendingCandidate;
  /// Natural logarithm of the likelihood ratio behind goodCalls().
  double GoodEvidence = 0;
  /// Counts with exponential decay: a time constant of 60 s for the baseline, 2
  /// s for the recent calls.
  FaultCount Baseline;
  FaultCount RecentBaseline;
  FaultCount RecentCandidate;
  std::optional<Instant> LastStepAt;
};

} // namespace amaranthward

#endif
