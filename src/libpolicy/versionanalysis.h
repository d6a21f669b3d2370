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
  NotEnoughEvidence,
  GoodSoFar,
  /// Probably bad, but there is no concurrent baseline, or too little of it,
  /// to exclude a disturbance of both versions.
  Suspect,
  Bad,
};

const char *toString(VerdictKind Kind);

/// The figures behind a verdict of Bad.
struct BadEvidence {
  RouteName Route;
  FaultKind Fault = FaultKind::Failures;
  /// Calls of the candidate on the route since the analysis began.
  std::uint64_t Calls = 0;
  /// Failed or slow parts of the calls on the route.
  double CandidateRate = 0;
  double BaselineRate = 0;
  /// Natural logarithm of the likelihood ratio.
  double Evidence = 0;
};

struct AnalysisVerdict {
  VerdictKind Kind = VerdictKind::NotEnoughEvidence;
  /// Calls of the candidate on all routes since the analysis began.
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
  /// Probability of a false verdict of Bad over one move, all routes and both
  /// kinds of fault together.
  double FalseAlarmBudget = 1e-4;
  /// Candidate calls from which a version counts as good so far. A version
  /// that fails one call in ten gets through 50 calls with probability 0.5%.
  std::uint64_t MinGoodCalls = 50;
};

/// Compares a candidate version with the concurrent baseline on each route of
/// one service for the length of one move.
class VersionAnalysis {
public:
  /// Fails with InvalidArgument without routes or with a budget outside (0, 1).
  static Result<VersionAnalysis> create(const std::vector<RouteName> &Routes,
                                        AnalysisOptions Options = {});

  /// Takes the newest totals; routes that were not named at creation are
  /// ignored. Counters lower than at the last step count as unchanged. A
  /// verdict of Bad is final.
  const AnalysisVerdict &step(Instant Now,
                              const std::map<RouteName, RouteTotals> &Totals);

  /// Forgets the evidence on the candidate and keeps the baseline.
  void restart();

  const AnalysisVerdict &verdict() const { return this->Verdict; }

private:
  VersionAnalysis(const std::vector<RouteName> &Routes,
                  AnalysisOptions Options);
  void conclude();

  AnalysisOptions Options;
  std::map<RouteName, RouteAnalysis> Routes;
  AnalysisVerdict Verdict;
};

} // namespace amaranthward

#endif
