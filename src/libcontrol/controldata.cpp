#include "libcontrol/controldata.h"

#include "libconfig/resources.h"
#include <algorithm>

namespace amaranthward {

namespace {

// Adds the versions that still receive traffic, or would after a rollback, but
// that the newest set no longer lists.
void addVersionsInUse(Json &Service, const ServiceState &State) {
  Json &Versions = Service["versions"];
  auto AddMissing = [&Versions](const Split &Shares) {
    for (const auto &[Version, Part] : Shares) {
      Json Name = Version.str();
      if (std::find(Versions.begin(), Versions.end(), Name) == Versions.end())
        Versions.push_back(Name);
    }
  };
  AddMissing(State.InForce);
  if (State.Move)
    AddMissing(State.Move->State.Fallback);
}

Json moveResource(const MoveRecord &Record) {
  const MoveState &Move = Record.State;
  return {{"id", Move.Id},
          {"phase", toString(Move.Phase)},
          {"candidate", Move.Candidate.str()},
          {"baseline", Move.Baseline.str()},
          {"decided", Record.ChangedIn.value()}};
}

} // namespace

bool ControlData::hasAnnouncedVersions(const ServiceName &Service) const {
  const ServiceSpec *Spec =
      this->Current ? this->Current->findService(Service) : nullptr;
  return Spec && Spec->Versions.empty();
}

const AcceptedSet *ControlData::newest() const {
  return this->History.empty() ? nullptr : &this->History.back();
}

void ControlData::addEvent(const MoveState &Move, WallTime At) {
  MoveEvent Event;
  Event.Sequence = ++this->LastEvent;
  Event.MoveId = Move.Id;
  Event.Service = Move.Service;
  Event.Phase = Move.Phase;
  Event.Reason = toString(Move.Reason);
  Event.InForce = Move.shareOf(Move.Driver);
  Event.At = At;
  this->Events.push_back(std::move(Event));
  if (this->Events.size() > MaxEvents)
    this->Events.pop_front();
}

ResourceMap ControlData::resources() const {
  if (!this->Current)
    return {};
  const AcceptedSet *Newest = this->newest();
  ResourceMap All =
      resourcesOf(*this->Current, Newest ? Newest->Digest : std::string());
  for (const auto &[Service, State] : this->Services) {
    bool Announced = this->hasAnnouncedVersions(Service);
    if (!Announced)
      addVersionsInUse(All["service/" + Service.str()], State);
    if (!State.InForce.empty())
      All["split/" + Service.str()] = {{"shares", splitToJson(State.InForce)}};
    if (State.Move && (!Announced || State.hasOpenMove()))
      All["move/" + Service.str()] = moveResource(*State.Move);
  }
  for (const ZoneName &Zone : this->ZonesOutOfService)
    All["zone-out/" + Zone.str()] = true;
  for (const auto &[Key, Mark] : this->BadMarks)
    All["bad/" + Key.first.str() + '/' + Key.second.str()] = Mark.Reason;
  return All;
}

Split withoutZeroShares(const Split &Shares) {
  Split Kept;
  for (const auto &[Version, Part] : Shares) {
    if (Part > Share::none())
      Kept.emplace(Version, Part);
  }
  return Kept;
}

} // namespace amaranthward
