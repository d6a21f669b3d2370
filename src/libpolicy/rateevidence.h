#ifndef AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H
#define AMARANTHWARD_LIBPOLICY_RATEEVIDENCE_H

#include "libcore/units.h"
#include <array>
#include <cstdint>

namespace amaranthward {

/// Calls, and how many of them had the fault.
struct FaultCount {
  double Calls = 0;
  double Faults = 0;
};

/// Sequential test of whether a candidate's fault rate exceeds the baseline's:
/// a mixture of likelihood ratios over several alternative rates and over the
/// time at which the fault began.
class RateEvidence {
public:
  /// \a Budget is the false alarm probability over the whole move.
  explicit RateEvidence(double Budget);

  /// Takes the calls of both versions since the last step.
  void step(Instant Now, FaultCount Baseline, FaultCount Candidate);

  bool bad() const { return this->Bad; }
  /// Natural logarithm of the mixture likelihood ratio.
  double evidence() const;
  /// Upper estimate of the baseline's rate used by the last step.
  double baselineRate() const { return this->UpperRate; }
  double candidateRate() const;

private:
  static constexpr std::size_t Alternatives = 6;

  void updateBaseline(Instant Now, FaultCount Baseline);
  void updateRatios(FaultCount Candidate);
  bool outweighsBaseline() const;

  double Threshold;
  bool Bad = false;
  double UpperRate = 1;
  std::uint64_t Steps = 0;
  std::array<double, Alternatives> Ratios = {};
  FaultCount Total;
};

} // namespace amaranthward

#endif
