#ifndef AMARANTHWARD_LIBPOLICY_VERSIONANALYSIS_H
#define AMARANTHWARD_LIBPOLICY_VERSIONANALYSIS_H

#include "libcore/ids.h"
#include "libcore/units.h"
#include "libpolicy/observation.h"
#include "libpolicy/routeanalysis.h"
#include <map>
#include <optional>
#include <vector>

namespace amaranthward {

enum class VerdictKind {
  /// The candidate has had too few calls.
  NotEnoughEvidence,
  /// The candidate has had MinGoodCalls and no route shows a fault.
  GoodSoFar,
  /// Probably bad, but there are no concurrent baseline calls, or too few, to
  /// exclude a disturbance that affects both versions.
  Suspect,
  /// Fails or is slow significantly more often than the baseline.
  Bad,
};

const char *toString(VerdictKind Kind);

/// The measurements behind a verdict of Bad.
struct BadEvidence {
  RouteName Route;
  FaultKind Fault = FaultKind::Failures;
  /// Calls of the candidate on the route since the start or the last reset.
  std::uint64_t Calls = 0;
  /// Fraction (0 to 1) of the calls on the route that failed or were slow: the
  /// candidate's recent rate and the upper estimate of the baseline's.
  double CandidateRate = 0;
  double BaselineRate = 0;
  /// Natural logarithm of the likelihood ratio.
  double Evidence = 0;
};

struct AnalysisVerdict {
  VerdictKind Kind = VerdictKind::NotEnoughEvidence;
  /// Calls of the candidate on all routes since the start or the last reset.
  std::uint64_t CandidateCalls = 0;
  /// Set when and only when \a Kind is Bad.
  std::optional<BadEvidence> Bad;
};

/// Cumulative counters of one route, summed over all reporters.
struct RouteTotals {
  CallCounters Baseline;
  CallCounters Candidate;
};

struct AnalysisOptions {
  /// Probability of a false verdict of Bad in one move, for all routes and both
  /// kinds of fault together.
  double FalseAlarmBudget = 1e-4;
  /// Candidate calls needed for GoodSoFar. A version that fails one call in ten
  /// passes 50 calls without a failure with probability 0.5%.
  std::uint64_t MinGoodCalls = 50;
};

/// Compares a candidate version with the concurrent baseline on each route of
/// one service during one move.
class VersionAnalysis {
public:
  /// Fails with InvalidArgument without routes or with a budget outside (0, 1).
  static Result<VersionAnalysis> create(const std::vector<RouteName> &Routes,
                                        AnalysisOptions Options = {});

  /// Updates the verdict from the newest cumulative totals. Routes that were
  /// not passed to create() are ignored, and counters lower than at the last
  /// step count as unchanged. A verdict of Bad is final until resetCandidate().
  const AnalysisVerdict &step(Instant Now,
                              const std::map<RouteName, RouteTotals> &Totals);

  /// Discards the evidence on the candidate and keeps the baseline.
  void resetCandidate();

  const AnalysisVerdict &verdict() const { return this->Verdict; }

private:
  VersionAnalysis(const std::vector<RouteName> &Routes,
                  AnalysisOptions Options);
  void updateVerdict();

  AnalysisOptions Options;
  std::map<RouteName, RouteAnalysis> Routes;
  AnalysisVerdict Verdict;
};

} // namespace amaranthward

#endif
