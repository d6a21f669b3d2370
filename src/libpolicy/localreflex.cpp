#include "libpolicy/localreflex.h"

#include "libpolicy/movestate.h"

#include <algorithm>
#include <utility>

namespace amaranthward {

Result<LocalReflex> LocalReflex::create(const std::vector<RouteName> &Routes,
                                        AnalysisOptions Options) {
  auto Analysis = VersionAnalysis::create(Routes, Options);
  if (!Analysis)
    return tl::make_unexpected(Analysis.error());
  return LocalReflex(std::move(*Analysis));
}

LocalReflex::LocalReflex(VersionAnalysis Analysis)
    : Analysis(std::move(Analysis)) {}

void LocalReflex::follow(Revision Decided, Share Leaders) {
  if (Decided <= this->Followed)
    return;
  this->Followed = Decided;
  this->Leaders = Leaders;
  if (this->Limit == Share::all())
    return;
  this->Limit = Share::all();
  this->Analysis.restart();
}

bool LocalReflex::step(Instant Now,
                       const std::map<RouteName, RouteTotals> &Own) {
  Judgement Kind = this->Analysis.step(Now, Own).Kind;
  Share Before = this->share();
  if (Kind == Judgement::Bad)
    this->Limit = Share::none();
  else if (Kind == Judgement::Suspect)
    this->Limit = std::min(this->Limit, LargestSuspectShare);
  return this->share() < Before;
}

Share LocalReflex::share() const {
  return std::min(this->Limit, this->Leaders);
}

} // namespace amaranthward
