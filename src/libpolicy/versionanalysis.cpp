#include "libpolicy/versionanalysis.h"

#include <algorithm>

namespace amaranthward {
namespace {

constexpr std::size_t MaxDescribedRoutes = 3;

BadEvidence badEvidenceOf(const RouteName &Route, FaultKind Kind,
                          const RouteAnalysis &Analysis) {
  const RateEvidence &Rate =
      Kind == FaultKind::Failures ? Analysis.failures() : Analysis.slowness();
  BadEvidence Bad;
  Bad.Route = Route;
  Bad.Fault = Kind;
  Bad.Calls = Analysis.candidateCalls();
  Bad.CandidateRate = Rate.candidateRate();
  Bad.BaselineRate = Rate.baselineRate();
  Bad.Evidence = Rate.evidence();
  return Bad;
}

/// Part of the false alarm probability for all routes together. Small, as
/// most faults show on a single route.
constexpr double AllRoutesBudgetPart = 0.01;

/// False alarm probability of each route.
double budgetOfEach(const std::vector<RouteName> &Routes,
                    const AnalysisOptions &Options) {
  return (1 - AllRoutesBudgetPart) * Options.FalseAlarmBudget /
         static_cast<double>(Routes.size());
}

} // namespace

const char *toString(VerdictKind Kind) {
  switch (Kind) {
  case VerdictKind::NotEnoughEvidence:
    return "not_enough_evidence";
  case VerdictKind::GoodSoFar:
    return "good_so_far";
  case VerdictKind::Suspect:
    return "suspect";
  case VerdictKind::Bad:
    return "bad";
  }
  return "unknown";
}

Result<VersionAnalysis>
VersionAnalysis::create(const std::vector<RouteName> &Routes,
                        AnalysisOptions Options) {
  if (Routes.empty())
    return fail(ErrorCode::InvalidArgument,
                "version analysis needs at least one route");
  if (!(Options.FalseAlarmBudget > 0 && Options.FalseAlarmBudget < 1))
    return fail(
        ErrorCode::InvalidArgument,
        "false alarm budget of the version analysis must lie between 0 and 1");
  return VersionAnalysis(Routes, Options);
}

VersionAnalysis::VersionAnalysis(const std::vector<RouteName> &Routes,
                                 AnalysisOptions Options)
    : Options(Options),
      AllRoutes(AllRoutesBudgetPart * Options.FalseAlarmBudget) {
  for (const RouteName &Route : Routes)
    this->Routes.emplace(Route, RouteAnalysis(budgetOfEach(Routes, Options)));
}

const AnalysisVerdict &
VersionAnalysis::step(Instant Now,
                      const std::map<RouteName, RouteTotals> &Totals) {
  if (this->Verdict.Kind == VerdictKind::Bad)
    return this->Verdict;
  static const RouteTotals None;
  RouteTotals Sum;
  for (auto &[Route, Analysis] : this->Routes) {
    auto Found = Totals.find(Route);
    const RouteTotals &Newest = Found == Totals.end() ? None : Found->second;
    Analysis.step(Now, Newest.Baseline, Newest.Candidate);
    Sum.Baseline.add(Newest.Baseline);
    Sum.Candidate.add(Newest.Candidate);
  }
  this->AllRoutes.step(Now, Sum.Baseline, Sum.Candidate);
  this->updateVerdict();
  return this->Verdict;
}

void VersionAnalysis::updateVerdict() {
  this->Verdict = {};
  for (const auto &[Route, Analysis] : this->Routes) {
    this->Verdict.CandidateCalls += Analysis.candidateCalls();
    if (Analysis.allCalls() > 0 &&
        Analysis.goodCalls() < this->Options.MinRouteCalls)
      this->Verdict.Unjudged.push_back(
          {Route, Analysis.allCalls(), Analysis.goodCalls(),
           Analysis.hasBaseline(), this->Options.MinRouteCalls});
  }
  if (this->Verdict.CandidateCalls >= this->Options.MinGoodCalls)
    this->Verdict.Kind = VerdictKind::GoodSoFar;
  for (const auto &[Route, Analysis] : this->Routes)
    this->applyFaults(Route, Analysis);
  this->applyFaults(RouteName(), this->AllRoutes);
}

void VersionAnalysis::applyFaults(const RouteName &Route,
                                  const RouteAnalysis &Analysis) {
  if (this->Verdict.Kind == VerdictKind::Bad)
    return;
  if (Analysis.failures().candidateSuspect() ||
      Analysis.slowness().candidateSuspect())
    this->Verdict.Kind = VerdictKind::Suspect;
  bool Fails = Analysis.failures().candidateBad();
  if (!Fails && !Analysis.slowness().candidateBad())
    return;
  this->Verdict.Kind = VerdictKind::Bad;
  this->Verdict.Bad = badEvidenceOf(
      Route, Fails ? FaultKind::Failures : FaultKind::Slowness, Analysis);
}

std::string describe(const AnalysisVerdict &Verdict) {
  std::string Text = std::string(toString(Verdict.Kind)) + " after " +
                     std::to_string(Verdict.CandidateCalls) + " calls";
  std::vector<UnjudgedRoute> Routes = Verdict.Unjudged;
  std::sort(Routes.begin(), Routes.end(),
            [](const auto &Left, const auto &Right) {
              return Left.AllCalls > Right.AllCalls;
            });
  std::size_t Named = std::min(Routes.size(), MaxDescribedRoutes);
  for (std::size_t At = 0; At < Named; ++At) {
    const UnjudgedRoute &Each = Routes[At];
    Text += ", route " + Each.Route.str() + " shows " +
            std::to_string(static_cast<std::uint64_t>(Each.GoodCalls)) +
            " good of " + std::to_string(Each.AllCalls) + " calls" +
            (Each.HasBaseline ? "" : " without a baseline");
  }
  if (Routes.size() > Named)
    Text += ", and " + std::to_string(Routes.size() - Named) + " more routes";
  return Text;
}

void VersionAnalysis::resetCandidate() {
  for (auto &[Route, Analysis] : this->Routes)
    Analysis.resetCandidate();
  this->AllRoutes.resetCandidate();
  this->Verdict = {};
}

} // namespace amaranthward
