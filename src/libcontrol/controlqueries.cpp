#include "libcontrol/controlservice.h"

namespace amaranthward {

namespace {

std::int64_t milliseconds(WallTime At) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             At.time_since_epoch())
      .count();
}

Json describeMove(const MoveState &Move) {
  return {{"id", Move.Id},
          {"service", Move.Service.str()},
          {"phase", toString(Move.Phase)},
          {"reason", toString(Move.Reason)},
          {"from", splitToJson(Move.From)},
          {"to", splitToJson(Move.To)},
          {"share_in_force", Move.shareOf(Move.Driver).parts()},
          {"deadline_ms", milliseconds(Move.Deadline)}};
}

Json describeEvent(const MoveEvent &Event) {
  return {{"seq", Event.Sequence},
          {"id", Event.MoveId},
          {"service", Event.Service.str()},
          {"phase", toString(Event.Phase)},
          {"reason", Event.Reason},
          {"share", Event.InForce.parts()},
          {"time_ms", milliseconds(Event.At)}};
}

Json describeInForce(const InForceCount &Count, Revision Newest) {
  bool Everywhere = Count.Known > 0 && Count.InForce == Count.Known;
  return {{"revision", Newest.value()},
          {"nodes", Count.InForce},
          {"of", Count.Known},
          {"everywhere", Everywhere}};
}

Json describeReplicas(const Json &Consensus) {
  Json List = Json::array();
  List.push_back({{"name", textAt(Consensus, "name")},
                  {"role", "leader"},
                  {"live", true},
                  {"match", numberAt(Consensus, "last")}});
  const Json Peers = Consensus.value("peers", Json::object());
  for (const auto &[Identity, Peer] : Peers.items()) {
    const char *Role = boolAt(Peer, "voter") ? "voter" : "learner";
    List.push_back({{"name", textAt(Peer, "name")},
                    {"role", Role},
                    {"live", boolAt(Peer, "live")},
                    {"match", numberAt(Peer, "match")}});
  }
  return List;
}

} // namespace

Json ControlService::status() const {
  const ControlData &Data = this->State.data();
  Json Out = {{"replica", this->ReplicaNameText},
              {"role", this->isLeader() ? "leader" : "follower"},
              {"leader", this->leader().str()},
              {"term", this->Replica->term().value()},
              {"revision", Data.Changed.value()},
              {"version", 0},
              {"digest", ""},
              {"in_force", describeInForce(this->inForce(), Data.Changed)},
              {"members_complete", this->Sessions->complete(this->Hooks.Now())},
              {"replicas", describeReplicas(this->Replica->status())},
              {"moves", Json::array()},
              {"services", Json::array()},
              {"zones", Json::array()}};
  if (const AcceptedSet *Newest = Data.newest()) {
    Out["version"] = Newest->Version.value();
    Out["digest"] = Newest->Digest;
  }
  for (const auto &[Name, State] : Data.Services) {
    Out["services"].push_back(
        {{"name", Name.str()}, {"split", splitToJson(State.InForce)}});
    if (State.hasOpenMove())
      Out["moves"].push_back(describeMove(State.Move->State));
  }
  if (Data.Current) {
    for (const ZoneSpec &Zone : Data.Current->Zones)
      Out["zones"].push_back(
          {{"name", Zone.Name.str()}, {"in_service", Zone.InService}});
  }
  return Out;
}

Json ControlService::moves(std::uint64_t After) const {
  const ControlData &Data = this->State.data();
  Json Events = Json::array();
  for (const MoveEvent &Event : Data.Events) {
    if (Event.Sequence > After)
      Events.push_back(describeEvent(Event));
  }
  return {{"events", Events}, {"last", Data.LastEvent}};
}

Json ControlService::history() const {
  Json Sets = Json::array();
  for (const AcceptedSet &Set : this->State.data().History)
    Sets.push_back({{"version", Set.Version.value()},
                    {"digest", Set.Digest},
                    {"revision", Set.AcceptedIn.value()},
                    {"time_ms", milliseconds(Set.AcceptedAt)}});
  return {{"sets", Sets}};
}

Json ControlService::dump() const {
  const DistributedState &Distributed = this->Publisher.state();
  Json Revisions = Json::object();
  for (const auto &[Number, Count] : this->Sessions->histogram())
    Revisions[std::to_string(Number.value())] = Count;
  return {{"status", this->status()},
          {"consensus", this->Replica->status()},
          {"state", ControlData::toJson(this->State.data())},
          {"resources", Distributed.Replicated.resources()},
          {"members", Distributed.Members.resources()},
          {"members_version",
           {Distributed.Members.current().Epoch,
            Distributed.Members.current().Sequence}},
          {"nodes_by_revision", Revisions},
          {"sessions", this->Sessions->size()},
          {"children", this->Server->children()},
          {"parked", this->Server->parked()},
          {"evidence", this->Driver.dump()}};
}

} // namespace amaranthward
