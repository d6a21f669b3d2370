#include "libconsensus/testcluster.h"

namespace amaranthward {

namespace {

constexpr Duration Step = std::chrono::milliseconds(10);

} // namespace

TestCluster::TestCluster(std::uint64_t Seed, std::vector<std::string> Names)
    : MessageBus(Seed), Names(std::move(Names)) {
  for (const std::string &Name : this->Names) {
    this->Nodes[Name];
    this->Options.Peers.emplace_back(Name);
  }
}

std::string TestCluster::start(const std::string &Name) {
  Node &Started = this->Nodes.at(Name);
  Started.State.clear();
  ReplicaOptions Own = this->Options;
  Own.Self = ReplicaName(Name);
  ReplicaHooks Hooks;
  Hooks.Files = Started.Disk;
  Hooks.Now = [this] { return this->Now; };
  Hooks.Random = this->Random;
  Hooks.Send = [this, Name](const ReplicaName &To, const Json &Message) {
    this->post(Name, To.str(), Message);
  };
  Hooks.Apply = [this, Name](LogIndex Index, Term, const std::string &Payload) {
    this->apply(Name, Index.value(), Payload);
  };
  Hooks.TakeSnapshot = [&Started] { return Json(Started.State).dump(); };
  Hooks.RestoreSnapshot = [this, Name](const std::string &State, LogIndex) {
    this->Nodes.at(Name).State.clear();
    for (const auto &Item : Json::parse(State))
      this->apply(Name, Item[0].get<std::uint64_t>(),
                  Item[1].get<std::string>());
  };
  auto Created = ConsensusReplica::create(Own, Hooks);
  if (!Created)
    return Created.error().Message;
  Started.Replica = std::move(*Created);
  return {};
}

void TestCluster::startAll() {
  for (const std::string &Name : this->Names)
    this->start(Name);
}

void TestCluster::crash(const std::string &Name) {
  this->Nodes.at(Name).Replica.reset();
  this->Nodes.at(Name).Disk->crash(this->Random);
}

void TestCluster::loseDisk(const std::string &Name) {
  this->crash(Name);
  this->Nodes.at(Name).Disk = std::make_shared<MemoryFolder>();
}

void TestCluster::apply(const std::string &Name, std::uint64_t Index,
                        const std::string &Payload) {
  auto &State = this->Nodes.at(Name).State;
  auto [Known, IsNew] = this->Committed.emplace(Index, Payload);
  if (!IsNew && Known->second != Payload)
    this->violation("entry " + std::to_string(Index) + " differs on " + Name);
  // The applied sequence is a prefix of the committed one if no committed
  // entry between the last applied one and this one was left out.
  auto Previous = Known == this->Committed.begin() ? this->Committed.end()
                                                   : std::prev(Known);
  std::uint64_t Expected =
      Previous == this->Committed.end() ? 0 : Previous->first;
  std::uint64_t Last = State.empty() ? 0 : State.rbegin()->first;
  if (Last != Expected)
    this->violation(Name + " applied " + std::to_string(Index) + " after " +
                    std::to_string(Last));
  State[Index] = Payload;
}

void TestCluster::step() {
  this->Now += Step;
  this->deliver([this](const std::string &From, const std::string &To,
                       const Json &Message) {
    Node &Receiver = this->Nodes.at(To);
    if (Receiver.Replica && !Receiver.Refuses.contains(textAt(Message, "type")))
      Receiver.Replica->receive(ReplicaName(From), Message);
  });
  for (auto &[Name, One] : this->Nodes) {
    if (!One.Replica)
      continue;
    One.Replica->tick();
    if (!One.Replica->isLeader())
      continue;
    auto [Known, IsNew] =
        this->Leaders.emplace(One.Replica->term().value(), Name);
    if (!IsNew && Known->second != Name)
      this->violation("two leaders in term " + std::to_string(Known->first));
  }
}

void TestCluster::run(Duration Time) {
  for (Instant End = this->Now + Time; this->Now < End;)
    this->step();
}

bool TestCluster::runUntil(const std::function<bool()> &Condition,
                           Duration Limit) {
  for (Instant End = this->Now + Limit; this->Now < End; this->step())
    if (Condition())
      return true;
  return Condition();
}

ConsensusReplica *TestCluster::leader() {
  ConsensusReplica *Best = nullptr;
  for (auto &[Name, One] : this->Nodes)
    if (One.Replica && !this->isCut(Name) && One.Replica->isLeader() &&
        (!Best || One.Replica->term() > Best->term()))
      Best = One.Replica.get();
  return Best;
}

std::string TestCluster::leaderName() {
  ConsensusReplica *Found = this->leader();
  return Found ? Found->leader().str() : "";
}

bool TestCluster::waitForLeader() {
  return this->runUntil([this] { return this->leader() != nullptr; });
}

TestCluster::OutcomePtr TestCluster::propose(const std::string &Name,
                                             const std::string &Payload) {
  auto Open = std::make_shared<Outcome>();
  this->at(Name).Replica->propose(
      Payload, [this, Open, Payload](Result<LogIndex> Value) {
        if (Open->Settled)
          this->violation("outcome of " + Payload + " reported twice");
        if (Value)
          this->Acknowledged[Value->value()] = Payload;
        *Open = {true, std::move(Value)};
      });
  return Open;
}

TestCluster::OutcomePtr TestCluster::confirmRead(const std::string &Name) {
  auto Open = std::make_shared<Outcome>();
  this->at(Name).Replica->confirmRead([Open](Result<LogIndex> Value) {
    *Open = {true, std::move(Value)};
  });
  return Open;
}

bool TestCluster::commit(const std::string &Payload) {
  for (int Attempt = 0; Attempt < 20; ++Attempt) {
    if (!this->waitForLeader())
      return false;
    OutcomePtr Open = this->propose(this->leaderName(), Payload);
    this->runUntil([&Open] { return Open->Settled; });
    if (Open->Value)
      return true;
    this->run(std::chrono::milliseconds(200));
  }
  return false;
}

bool TestCluster::isVoter(const std::string &Name) {
  ConsensusReplica *Found = this->leader();
  Node &Asked = this->at(Name);
  if (!Found || !Asked.Replica)
    return false;
  Json Set = Found->status()["voter_set"]["voters"];
  return Set.contains(Asked.Replica->identity().str()) &&
         Found->status()["voter_set_index"].get<std::uint64_t>() <=
             Found->commitIndex().value();
}

bool TestCluster::allHold(const std::string &Payload) {
  for (auto &[Name, One] : this->Nodes) {
    bool Holds = false;
    for (const auto &[Index, Held] : One.State)
      Holds = Holds || Held == Payload;
    if (One.Replica && !Holds)
      return false;
  }
  return true;
}

std::vector<std::string> TestCluster::missingAcknowledged() const {
  std::vector<std::string> Missing;
  for (const auto &[Index, Payload] : this->Acknowledged)
    for (const auto &[Name, One] : this->Nodes)
      if (One.Replica &&
          (!One.State.contains(Index) || One.State.at(Index) != Payload))
        Missing.push_back("acknowledged entry " + std::to_string(Index) +
                          " is missing on " + Name);
  return Missing;
}

void TestCluster::checkAcknowledged() {
  for (const std::string &Each : this->missingAcknowledged())
    this->violation(Each);
}

} // namespace amaranthward
