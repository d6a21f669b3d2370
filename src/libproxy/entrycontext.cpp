#include "libproxy/entrycontext.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Part of the mesh's bound that an entry spends itself. A run that is repeated
/// repeats its own calls, up to two in the known services, so the upstreams of
/// a called service see the repeats of both services.
constexpr std::uint32_t OwnRetryPercent = 20;
/// Tokens that an entry may save up where the mesh has a bound: all entries
/// may spend theirs within one window.
constexpr std::uint32_t MaxSavedRetries = 8;

} // namespace

RetryBudget *EntryContext::budget(const ServiceName &Service) {
  auto Found = this->Budgets.find(Service);
  if (Found == this->Budgets.end()) {
    RetryBudgetSettings Settings;
    Settings.Ratio = this->State.View->limits().RetryBudget;
    if (this->RetryBound)
      Settings.Ratio =
          std::min(Settings.Ratio,
                   Share(this->RetryBound->parts() * OwnRetryPercent / 100));
    if (this->RetryBound)
      Settings.Largest = MaxSavedRetries;
    auto Made = RetryBudget::create(Settings, this->Loop.now());
    if (!Made)
      return nullptr;
    Found = this->Budgets.emplace(Service, *Made).first;
  }
  return &Found->second;
}

void EntryContext::addTime(const RouteName &Route, Duration Took, Instant Now) {
  this->Times[Route].add(0, Took, Now);
}

Duration EntryContext::minAttemptTime(const RouteName &Route,
                                      Instant Now) const {
  auto Found = this->Times.find(Route);
  return Found == this->Times.end() ? Duration::zero()
                                    : Found->second.least(0, Now);
}

ServiceName EntryContext::serviceFor(const RouteSpec &Route) {
  if (Route.Parts.empty())
    return Route.Service;
  std::vector<double> Weights;
  Weights.reserve(Route.Parts.size());
  for (const RoutePart &Part : Route.Parts)
    Weights.push_back(Part.Weight);
  auto Next = this->Parts[Route.Name].next(Weights);
  return Next ? Route.Parts[*Next].Service : Route.Service;
}

} // namespace amaranthward
