#include "libpolicy/observationstore.h"

#include <algorithm>

namespace amaranthward {
namespace {

/// Retired incarnations remembered per reporter and service. A report that
/// comes later than this many restarts of its reporter would count twice.
constexpr std::size_t RetiredKept = 64;

} // namespace

Result<ObservationStore> ObservationStore::create(ObservationLimits Limits) {
  if (Limits.Entries == 0 || Limits.Incarnations == 0)
    return fail(ErrorCode::InvalidArgument,
                "limits of the observation store must be positive");
  return ObservationStore(Limits);
}

Result<bool> ObservationStore::record(const Observation &One) {
  ServiceCounters &Service = this->Services[One.Service];
  Reporter &From = Service.Reporters[One.Reporter];
  if (auto Admitted = this->admit(From, One); !Admitted)
    return tl::make_unexpected(Admitted.error());
  VersionRoute Key(One.Version, One.Route);
  Sums &Known = From.Processes[One.Process];
  auto [At, IsNew] = Known.try_emplace(Key);
  this->Count += IsNew ? 1 : 0;
  CallCounters Added = At->second.advance(One.Counters);
  if (Added == CallCounters())
    return false;
  Service.Totals[Key].add(Added);
  return true;
}

Result<void> ObservationStore::admit(Reporter &From, const Observation &One) {
  if (std::find(From.Retired.begin(), From.Retired.end(), One.Process) !=
      From.Retired.end())
    return fail(ErrorCode::Stale, "incarnation of reporter \"" +
                                      One.Reporter.str() + "\" is retired");
  auto Known = From.Processes.find(One.Process);
  bool IsNew = Known == From.Processes.end() ||
               Known->second.count({One.Version, One.Route}) == 0;
  if (IsNew && this->Count >= this->Limits.Entries)
    return fail(ErrorCode::Exhausted, "observation store is full");
  if (Known != From.Processes.end())
    return {};
  if (From.Processes.size() >= this->Limits.Incarnations)
    this->retireOldest(From);
  From.Order.push_back(One.Process);
  return {};
}

void ObservationStore::retireOldest(Reporter &From) {
  Incarnation Oldest = From.Order.front();
  From.Order.pop_front();
  this->Count -= From.Processes[Oldest].size();
  From.Processes.erase(Oldest);
  From.Retired.push_back(Oldest);
  if (From.Retired.size() > RetiredKept)
    From.Retired.pop_front();
}

const ObservationStore::Sums &
ObservationStore::sums(const ServiceName &Service) const {
  static const Sums None;
  auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? None : Found->second.Totals;
}

void ObservationStore::forget(const ServiceName &Service) {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return;
  for (const auto &[Name, From] : Found->second.Reporters)
    for (const auto &[Process, Known] : From.Processes)
      this->Count -= Known.size();
  this->Services.erase(Found);
}

} // namespace amaranthward
