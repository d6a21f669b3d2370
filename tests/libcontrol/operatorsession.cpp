#include "operatorsession.h"

#include "golden/goldenfile.h"
#include "libcontrol/movereport.h"
#include "libcore/hashing.h"

namespace amaranthward::testing {

namespace {

const char *describe(ApplyOutcome::Kind Kind) {
  switch (Kind) {
  case ApplyOutcome::Kind::Accepted:
    return "accepted";
  case ApplyOutcome::Kind::Repeated:
    return "accepted before";
  case ApplyOutcome::Kind::Conflict:
    return "conflict";
  case ApplyOutcome::Kind::Stale:
    return "stale";
  case ApplyOutcome::Kind::BaseMismatch:
    return "other base";
  }
  return "";
}

std::string percent(Share Part) {
  char Buffer[16];
  std::snprintf(Buffer, sizeof Buffer, "%.2f%%", 100 * Part.fraction());
  return Buffer;
}

} // namespace

OperatorSession::OperatorSession(std::uint64_t Seed, const std::string &Service,
                                 const std::string &Route)
    : Control(Seed), Random(seededRandom(Seed)), Service(Service),
      Route(Route) {
  this->Control.waitForLeader();
  this->Start = this->Control.now();
}

void OperatorSession::addNodes(const std::string &Zone,
                               const std::string &Version, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    Member Info;
    Info.Node = NodeName("node-" + std::to_string(this->Nodes.size()));
    Info.Start = Incarnation(this->Nodes.size() + 1);
    Info.Zone = ZoneName(Zone);
    Info.PeerAddress = Endpoint("127.0.0.1:1");
    Info.Service = this->Service;
    Info.Version = VersionName(Version);
    Info.Slots = 9;
    this->Nodes.push_back(Info);
  }
}

void OperatorSession::setFailures(const std::string &Version, double Part) {
  this->Failures[VersionName(Version)] = Part;
  this->write("upstreams of " + Version + " fail " +
              std::to_string(static_cast<int>(100 * Part)) +
              "% of their calls");
}

void OperatorSession::apply(const std::string &Yaml) {
  auto Answer = this->Control.submit(this->leader(), Yaml);
  if (!Answer) {
    this->write("apply: no answer");
    return;
  }
  for (const Finding &Problem : Answer->Problems)
    this->write("apply: " + toString(Problem));
  if (Answer->Failure)
    this->write("apply: " + Answer->Failure->Message);
  if (Answer->Outcome) {
    const AcceptedSet &Winner = Answer->Outcome->Winner;
    this->write(std::string("apply: ") + describe(Answer->Outcome->What) +
                ", version " + std::to_string(Winner.Version.value()) +
                ", revision " + std::to_string(Winner.AcceptedIn.value()));
  }
  this->writeEvents();
}

void OperatorSession::applyExample(const std::string &Name) {
  this->apply(
      readTextFile(std::string(AMARANTHWARD_SOURCE_DIR) + "/examples/" + Name));
}

void OperatorSession::run(Duration Time) {
  for (Instant End = this->Control.now() + Time; this->Control.now() < End;) {
    this->countCalls();
    this->sync();
    this->Control.run(SyncInterval);
    this->writeEvents();
  }
}

void OperatorSession::showStatus() {
  const ControlService &Leader = this->Control.replica(this->leader());
  InForceCount Count = Leader.inForce();
  std::string Line = "status: in force on " + std::to_string(Count.InForce) +
                     " of " + std::to_string(Count.Known);
  for (const auto &[Name, State] : Leader.data().Services) {
    Line += ", " + Name.str();
    for (const auto &[Version, Part] : State.InForce)
      Line += " " + Version.str() + " " + percent(Part);
  }
  this->write(Line);
}

void OperatorSession::cutLeader() {
  this->Control.cut(this->leader(), true);
  this->write("the leader is cut off");
  this->Control.waitForLeader();
  this->write("another replica leads");
}

std::size_t OperatorSession::leader() { return this->Control.waitForLeader(); }

void OperatorSession::write(const std::string &Line) {
  double Seconds =
      std::chrono::duration<double>(this->Control.now() - this->Start).count();
  char Stamp[16];
  std::snprintf(Stamp, sizeof Stamp, "%8.1f ", Seconds);
  this->Text << Stamp << Line << '\n';
}

void OperatorSession::countCalls() {
  ControlService &Leader = this->Control.replica(this->leader());
  auto Found = Leader.data().Services.find(this->Service);
  if (Found == Leader.data().Services.end() || !Found->second.Move)
    return;
  if (this->CountedMove != Found->second.Move->State.Id) {
    this->CountedMove = Found->second.Move->State.Id;
    this->Counters.clear();
  }
  auto Calls = CallsPerSecond * SyncInterval / std::chrono::seconds(1);
  for (int Number = 0; Number < Calls; ++Number) {
    std::uint64_t Draw = this->Random() % Share::Whole;
    for (const auto &[Version, Part] : Found->second.InForce) {
      if (Draw >= Part.parts()) {
        Draw -= Part.parts();
        continue;
      }
      bool Failed = static_cast<double>(this->Random() % 1000) <
                    1000 * this->Failures[Version];
      this->Counters[Version].count(Failed, std::chrono::milliseconds(6));
      break;
    }
  }
}

void OperatorSession::report(UplinkBatch &Batch, const MoveState &Move) const {
  std::vector<MoveReport> Reports;
  Incarnation CounterProcess(stableHash(Move.Id) >> 12);
  for (const auto &[Version, Counted] : this->Counters)
    Reports.push_back({Move.Id,
                       {this->Nodes.front().Node, CounterProcess, this->Service,
                        Version, this->Route, Counted}});
  Batch.observe({this->Nodes.front().Node, this->Nodes.front().Start,
                 MoveReport::listToJson(Reports)});
}

void OperatorSession::sync() {
  ControlService &Leader = this->Control.replica(this->leader());
  ++this->Sequence;
  for (const Member &Node : this->Nodes) {
    SyncRequest Request;
    Request.Node = Node.Node;
    Request.Start = Node.Start;
    Request.Zone = Node.Zone;
    Request.Sequence = this->Sequence;
    Request.InForce = Leader.data().Changed;
    SessionId Session(Node.Start.value());
    Request.Uplink.announce({Session, 1, Node, false});
    Request.Uplink.renew(Session, Request.InForce, this->Control.now());
    auto Found = Leader.data().Services.find(this->Service);
    if (&Node == &this->Nodes.front() &&
        Found != Leader.data().Services.end() && Found->second.Move)
      this->report(Request.Uplink, Found->second.Move->State);
    Leader.sync(Request, [](const SyncResponse &) {});
  }
}

void OperatorSession::writeEvents() {
  const ControlData &Data = this->Control.replica(this->leader()).data();
  for (const MoveEvent &Event : Data.Events) {
    if (Event.Sequence <= this->LastEvent)
      continue;
    this->LastEvent = Event.Sequence;
    this->write("move of " + Event.Service.str() + ": " +
                toString(Event.Phase) + " (" + Event.Reason + "), share " +
                percent(Event.InForce));
  }
}

} // namespace amaranthward::testing
