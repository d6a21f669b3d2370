#include "libpolicy/versionanalysis.h"

namespace amaranthward {
namespace {

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
    : Options(Options) {
  double Budget = Options.FalseAlarmBudget / static_cast<double>(Routes.size());
  for (const RouteName &Route : Routes)
    this->Routes.emplace(Route, RouteAnalysis(Budget));
}

const AnalysisVerdict &
VersionAnalysis::step(Instant Now,
                      const std::map<RouteName, RouteTotals> &Totals) {
  if (this->Verdict.Kind == VerdictKind::Bad)
    return this->Verdict;
  static const RouteTotals None;
  for (auto &[Route, Analysis] : this->Routes) {
    auto Found = Totals.find(Route);
    const RouteTotals &Newest = Found == Totals.end() ? None : Found->second;
    Analysis.step(Now, Newest.Baseline, Newest.Candidate);
  }
  this->updateVerdict();
  return this->Verdict;
}

void VersionAnalysis::updateVerdict() {
  this->Verdict = {};
  for (const auto &[Route, Analysis] : this->Routes)
    this->Verdict.CandidateCalls += Analysis.candidateCalls();
  if (this->Verdict.CandidateCalls >= this->Options.MinGoodCalls)
    this->Verdict.Kind = VerdictKind::GoodSoFar;
  for (const auto &[Route, Analysis] : this->Routes) {
    if (Analysis.failures().candidateSuspect() ||
        Analysis.slowness().candidateSuspect())
      this->Verdict.Kind = VerdictKind::Suspect;
    bool Fails = Analysis.failures().candidateBad();
    if (!Fails && !Analysis.slowness().candidateBad())
      continue;
    this->Verdict.Kind = VerdictKind::Bad;
    this->Verdict.Bad = badEvidenceOf(
        Route, Fails ? FaultKind::Failures : FaultKind::Slowness, Analysis);
    return;
  }
}

void VersionAnalysis::resetCandidate() {
  for (auto &[Route, Analysis] : this->Routes)
    Analysis.resetCandidate();
  this->Verdict = {};
}

} // namespace amaranthward
