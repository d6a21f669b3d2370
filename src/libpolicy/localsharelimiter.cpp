#include "libpolicy/localsharelimiter.h"

#include "libpolicy/movestate.h"

#include <algorithm>
#include <utility>

namespace amaranthward {

Result<LocalShareLimiter>
LocalShareLimiter::create(const std::vector<RouteName> &Routes,
                          AnalysisOptions Options) {
  auto Analysis = VersionAnalysis::create(Routes, Options);
  if (!Analysis)
    return tl::make_unexpected(Analysis.error());
  return LocalShareLimiter(std::move(*Analysis));
}

LocalShareLimiter::LocalShareLimiter(VersionAnalysis Analysis)
    : Analysis(std::move(Analysis)) {}

void LocalShareLimiter::follow(Revision Decided, Share LeaderShare) {
  if (Decided <= this->DecidedRevision)
    return;
  this->DecidedRevision = Decided;
  this->LeaderShare = LeaderShare;
  if (this->Limit == Share::all())
    return;
  this->Limit = Share::all();
  this->Analysis.resetCandidate();
}

bool LocalShareLimiter::step(
    Instant Now, const std::map<RouteName, RouteTotals> &OwnTotals) {
  VerdictKind Kind = this->Analysis.step(Now, OwnTotals).Kind;
  Share Before = this->share();
  if (Kind == VerdictKind::Bad)
    this->Limit = Share::none();
  else if (Kind == VerdictKind::Suspect)
    this->Limit = std::min(this->Limit, MaxSuspectShare);
  return this->share() < Before;
}

Share LocalShareLimiter::share() const {
  return std::min(this->Limit, this->LeaderShare);
}

} // namespace amaranthward
