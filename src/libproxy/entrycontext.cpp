#include "libproxy/entrycontext.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Percentage of the mesh's retry bound that an entry may use for its own
/// retries. A retried request repeats its downstream calls, up to two in the
/// known services, so a called service receives the retries of both levels.
constexpr std::uint32_t OwnRetryPercent = 20;
/// Retry tokens that an entry may accumulate if the mesh has a retry bound. It
/// is small because all entries may spend their tokens in the same window.
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
                                    : Found->second.minServiceTime(0, Now);
}

ServiceName EntryContext::serviceFor(const RouteSpec &Route) {
  if (Route.Parts.empty())
    return Route.Service;
  std::vector<double> Weights;
  Weights.reserve(Route.Parts.size());
  for (const RoutePart &Part : Route.Parts)
    Weights.push_back(Part.Weight);
  auto Next = this->PartOrders[Route.Name].next(Weights);
  return Next ? Route.Parts[*Next].Service : Route.Service;
}

} // namespace amaranthward
