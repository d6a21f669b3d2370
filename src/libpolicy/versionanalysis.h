#ifndef AMARANTHWARD_LIBPOLICY_VERSIONANALYSIS_H
#define AMARANTHWARD_LIBPOLICY_VERSIONANALYSIS_H

#include "libcore/ids.h"
#include "libcore/units.h"
#include "libpolicy/observation.h"
#include "libpolicy/routeanalysis.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

enum class VerdictKind {
  /// The candidate has had too few calls.
  NotEnoughEvidence,
  /// The candidate has had MinGoodCalls and no route shows a fault. Routes with
  /// too few calls of their own are in AnalysisVerdict::Unjudged.
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
  /// Empty when the calls of all routes together show the fault.
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

/// A route that has calls, but on which too few show that the candidate is
/// good.
struct UnjudgedRoute {
  RouteName Route;
  /// Calls of both versions since the start.
  std::uint64_t AllCalls = 0;
  /// See RateEvidence::goodCalls().
  double GoodCalls = 0;
  /// False while the baseline has had too few calls to compare with.
  bool HasBaseline = false;
  /// Good calls after which the route is judged.
  double NeededCalls = 0;
};

struct AnalysisVerdict {
  VerdictKind Kind = VerdictKind::NotEnoughEvidence;
  /// Calls of the candidate on all routes since the start or the last reset.
  std::uint64_t CandidateCalls = 0;
  /// Set when and only when \a Kind is Bad.
  std::optional<BadEvidence> Bad;
  std::vector<UnjudgedRoute> Unjudged;
};

/// One line for logs: kind, candidate calls, and those routes without evidence
/// that have most calls.
std::string describe(const AnalysisVerdict &Verdict);

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
  /// Good calls needed on each route, see RateEvidence::goodCalls(). A version
  /// that fails a quarter of its calls passes with probability 1%.
  double MinRouteCalls = 16;
};

/// Compares a candidate version with the concurrent baseline on each route of
/// one service during one move, and on all routes together, which shows a fault
/// on many routes that have few calls each.
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
  /// Raises the verdict to Suspect or Bad where \a Analysis shows a fault.
  void applyFaults(const RouteName &Route, const RouteAnalysis &Analysis);

  AnalysisOptions Options;
  std::map<RouteName, RouteAnalysis> Routes;
  RouteAnalysis AllRoutes;
  AnalysisVerdict Verdict;
};

} // namespace amaranthward

#endif
