#include "libpolicy/observationstore.h"

#include <algorithm>

namespace amaranthward {
namespace {

/// Retired incarnations stored per reporter and service. A report of one that
/// is no longer stored, so delayed by more than this many restarts of its
/// reporter, would be counted twice.
constexpr std::size_t MaxRetiredIncarnations = 64;

} // namespace

Result<ObservationStore> ObservationStore::create(ObservationLimits Limits) {
  if (Limits.Entries == 0 || Limits.Incarnations == 0)
    return fail(ErrorCode::InvalidArgument,
                "limits of the observation store must be positive");
  return ObservationStore(Limits);
}

Result<bool> ObservationStore::record(const Observation &Report) {
  ServiceCounters &Service = this->Services[Report.Service];
  Reporter &Source = Service.Reporters[Report.Reporter];
  if (auto Checked = this->admit(Source, Report); !Checked)
    return tl::make_unexpected(Checked.error());
  VersionRoute Key(Report.Version, Report.Route);
  Sums &Known = Source.Processes[Report.Process];
  auto [Entry, IsNew] = Known.try_emplace(Key);
  this->EntryCount += IsNew ? 1 : 0;
  CallCounters Added = Entry->second.advance(Report.Counters);
  if (Added == CallCounters())
    return false;
  Service.Totals[Key].add(Added);
  return true;
}

Result<void> ObservationStore::admit(Reporter &Source,
                                     const Observation &Report) {
  if (std::find(Source.Retired.begin(), Source.Retired.end(), Report.Process) !=
      Source.Retired.end())
    return fail(ErrorCode::Stale, "incarnation of reporter \"" +
                                      Report.Reporter.str() + "\" is retired");
  auto Known = Source.Processes.find(Report.Process);
  bool IsNew = Known == Source.Processes.end() ||
               Known->second.count({Report.Version, Report.Route}) == 0;
  if (IsNew && this->EntryCount >= this->Limits.Entries)
    return fail(ErrorCode::Exhausted,
                "observation store has reached its limit of entries");
  if (Known != Source.Processes.end())
    return {};
  if (Source.Processes.size() >= this->Limits.Incarnations)
    this->retireOldest(Source);
  Source.ArrivalOrder.push_back(Report.Process);
  return {};
}

void ObservationStore::retireOldest(Reporter &Source) {
  Incarnation Oldest = Source.ArrivalOrder.front();
  Source.ArrivalOrder.pop_front();
  this->EntryCount -= Source.Processes[Oldest].size();
  Source.Processes.erase(Oldest);
  Source.Retired.push_back(Oldest);
  if (Source.Retired.size() > MaxRetiredIncarnations)
    Source.Retired.pop_front();
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
  for (const auto &[Name, Source] : Found->second.Reporters)
    for (const auto &[Process, Known] : Source.Processes)
      this->EntryCount -= Known.size();
  this->Services.erase(Found);
}

} // namespace amaranthward
