#include "libpolicy/localreflex.h"

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
  if (!this->Reduced)
    return;
  this->Reduced = false;
  this->Analysis.restart();
}

bool LocalReflex::step(Instant Now,
                       const std::map<RouteName, RouteTotals> &Own) {
  bool IsBad = this->Analysis.step(Now, Own).Kind == Judgement::Bad;
  if (!IsBad || this->Reduced)
    return false;
  this->Reduced = true;
  return true;
}

Share LocalReflex::share() const {
  return this->Reduced ? Share::none() : this->Leaders;
}

} // namespace amaranthward
