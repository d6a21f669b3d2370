#include "libconsensus/membership.h"

#include "libconsensus/wire.h"
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/logger.h>

namespace amaranthward {

namespace {

/// Heartbeat intervals between two hellos.
constexpr int HelloInterval = 2;
/// Entries that a learner may lack when it becomes a voter. It gets these in
/// the next append message.
constexpr std::uint64_t MaxPromotionLag = 16;
/// Names taken from one message; more than any cluster has voters.
constexpr std::size_t MaxNamedVoters = 64;

} // namespace

Membership::Membership(ReplicaCore &Core, Replicator &Leading)
    : Core(Core), Leading(Leading) {}

bool Membership::isNamed(const ReplicaName &Name) const {
  const auto &Peers = this->Core.options().Peers;
  return Name != this->Core.options().Self &&
         std::find(Peers.begin(), Peers.end(), Name) != Peers.end();
}

bool Membership::isPeer(const ReplicaName &Name) const {
  if (this->Core.options().Open)
    return !Name.empty() && Name != this->Core.options().Self;
  return this->isNamed(Name);
}

std::set<ReplicaName> Membership::helloTargets() const {
  std::set<ReplicaName> All(this->Core.options().Peers.begin(),
                            this->Core.options().Peers.end());
  if (this->Core.options().Open) {
    All.insert(this->Told.begin(), this->Told.end());
    for (const auto &[Disk, Name] : this->Core.voters().Voters)
      All.insert(Name);
  }
  std::erase_if(
      All, [this](const ReplicaName &Name) { return !this->isPeer(Name); });
  return All;
}

void Membership::tick(bool HasLiveLeader) {
  if (this->Core.isLeader())
    return this->repair();
  // A voter that hears no leader may have been added by an entry that was
  // overwritten later; the leader learns of it by its hellos.
  if ((this->Core.isVoter() && HasLiveLeader) ||
      this->Core.now() < this->NextHello)
    return;
  this->NextHello =
      this->Core.now() + HelloInterval * this->Core.options().HeartbeatInterval;
  this->sendHello();
  if (this->canForm())
    this->form();
}

void Membership::sendHello() {
  for (const ReplicaName &Peer : this->helloTargets()) {
    auto Heard = this->Hellos.find(Peer);
    std::string HeardDisk =
        Heard == this->Hellos.end() ? "" : Heard->second.Disk.str();
    this->Core.send(Peer, DiskIdentity(), wire::Hello,
                    {{"empty", this->Core.isEmpty()}, {"heard", HeardDisk}});
  }
}

void Membership::receiveHello(const ReplicaName &From, const Json &Message) {
  DiskIdentity Disk(textAt(Message, "from"));
  bool Empty = boolAt(Message, "empty");
  if (!this->isPeer(From) || Disk.empty())
    return;
  // The echo of this disk's identity shows that the hello was sent after this
  // disk came into being, so a delayed one from an earlier formation attempt
  // does not count.
  bool HeardUs = textAt(Message, "heard") == this->Core.identity().str();
  this->Hellos[From] = {Disk, Empty, HeardUs, this->Core.now()};
  if (this->Core.isEmpty())
    return;
  if (Empty)
    this->sendForm(From, Disk);
  if (this->Core.isLeader())
    this->Leading.setLearner(Disk, From);
  else if (this->Core.options().Open && !this->Core.voters().contains(Disk))
    this->sendVoters(From, Disk);
}

void Membership::sendVoters(const ReplicaName &To, const DiskIdentity &Disk) {
  Json Names = Json::array();
  for (const auto &[Voter, Name] : this->Core.voters().Voters)
    Names.push_back(Name.str());
  this->Core.send(To, Disk, wire::Voters, {{"names", std::move(Names)}});
}

void Membership::receiveVoters(const Json &Message) {
  auto Names = Message.find("names");
  if (Names == Message.end() || !Names->is_array() ||
      Names->size() > MaxNamedVoters)
    return;
  this->Told.clear();
  for (const Json &Name : *Names)
    if (Name.is_string())
      this->Told.emplace(Name.get<std::string>());
}

bool Membership::canForm() const {
  const auto &Open = this->Core.options().Open;
  if (!this->Core.isEmpty() || (Open && !Open->MayForm))
    return false;
  Duration Window = this->Core.options().ElectionTimeout;
  for (const ReplicaName &Peer : this->Core.options().Peers) {
    if (!this->isNamed(Peer))
      continue;
    auto Found = this->Hellos.find(Peer);
    bool Ready = Found != this->Hellos.end() && Found->second.Empty &&
                 Found->second.HeardUs &&
                 this->Core.now() - Found->second.At < Window;
    if (!Ready || Peer < this->Core.options().Self)
      return false;
  }
  return true;
}

void Membership::form() {
  VoterSet First;
  const RandomFunction &Random = this->Core.hooks().Random;
  First.Cluster = ClusterId(fmt::format("{:016x}{:016x}", Random(), Random()));
  First.Voters[this->Core.identity()] = this->Core.options().Self;
  for (const auto &[Name, Heard] : this->Hellos)
    if (this->isNamed(Name))
      First.Voters[Heard.Disk] = Name;
  if (!this->writeFirstRecord(dumpJson(First.toJson())))
    return;
  this->Core.logger().info("{}: forms cluster {} of {} replicas",
                           this->Core.options().Self.str(), First.Cluster.str(),
                           First.Voters.size());
  for (const auto &[Name, Heard] : this->Hellos)
    this->sendForm(Name, Heard.Disk);
}

void Membership::sendForm(const ReplicaName &To, const DiskIdentity &Disk) {
  const LogEntry *First = this->Core.log().at(LogIndex(1));
  if (!First)
    return;
  auto Record = parseJson(First->Payload);
  auto Set = Record ? VoterSet::parse(*Record)
                    : Result<VoterSet>(tl::make_unexpected(Record.error()));
  if (Set && Set->contains(Disk))
    this->Core.send(To, Disk, wire::Form, {{"record", First->Payload}});
}

void Membership::receiveForm(const ReplicaName &From, const Json &Message) {
  std::string Record = textAt(Message, "record");
  auto Value = parseJson(Record);
  auto Set = Value ? VoterSet::parse(*Value)
                   : Result<VoterSet>(tl::make_unexpected(Value.error()));
  if (!Set) {
    this->Core.logger().warn("{}: malformed first record from {} ignored",
                             this->Core.options().Self.str(), From.str());
    return;
  }
  auto Own = Set->Voters.find(this->Core.identity());
  if (this->Core.isEmpty() && Own != Set->Voters.end() &&
      Own->second == this->Core.options().Self)
    this->writeFirstRecord(Record);
}

bool Membership::writeFirstRecord(const std::string &Record) {
  // All replicas write the identical entry: index 1 of term 1, in which no
  // election takes place.
  if (this->Core.term() < Term(1) &&
      !this->Core.persistTerm(Term(1), DiskIdentity()))
    return false;
  this->Core.appendReceived(
      {LogIndex(1), Term(1), EntryType::VoterSet, Record});
  return this->Core.flush().has_value();
}

bool Membership::isCaughtUp(const Progress &Learner,
                            const DiskIdentity &Disk) const {
  bool Live = this->Leading.isLive(Disk, this->Core.options().ElectionTimeout);
  return Live && !Learner.Probing && !Learner.Sending &&
         this->Core.log().lastIndex().value() - Learner.Match.value() <=
             MaxPromotionLag;
}

void Membership::repair() {
  // One change at a time, and none before an entry of this term is committed:
  // otherwise two leaders could act on voter sets whose majorities need not
  // intersect.
  if (this->Core.commitIndex() < this->Core.termStart() ||
      this->Core.commitIndex() < this->Core.voterSetIndex() ||
      this->Leading.isTransferring())
    return;
  const VoterSet &Voters = this->Core.voters();
  for (const auto &[Disk, Peer] : this->Leading.peers()) {
    if (Voters.contains(Disk) || !this->isCaughtUp(Peer, Disk))
      continue;
    auto Old = Voters.diskOf(Peer.Name);
    if (!Old) {
      if (this->addOrReplace(Disk, Peer.Name))
        return;
    } else if (!this->Leading.isLive(
                   *Old, 2 * this->Core.options().ElectionTimeout)) {
      // A live old disk means that two processes use one replica name.
      VoterSet Changed = Voters;
      Changed.Voters.erase(*Old);
      if (this->tryChange(std::move(Changed), "removes", Peer.Name, *Old))
        return;
    }
  }
}

bool Membership::addOrReplace(const DiskIdentity &Disk,
                              const ReplicaName &Name) {
  const auto &Open = this->Core.options().Open;
  VoterSet Changed = this->Core.voters();
  if (!Open || Changed.Voters.size() < Open->TargetVoters) {
    Changed.Voters[Disk] = Name;
    return this->tryChange(std::move(Changed), "adds", Name, Disk);
  }
  auto Dead = this->deadVoter();
  if (!Dead)
    return false;
  ReplicaName Gone = Changed.Voters[*Dead];
  Changed.Voters.erase(*Dead);
  return this->tryChange(std::move(Changed), "removes", Gone, *Dead);
}

std::optional<DiskIdentity> Membership::deadVoter() const {
  for (const auto &[Disk, Name] : this->Core.voters().Voters)
    if (!this->Leading.isLive(Disk, this->Core.options().Open->DeadVoterAfter))
      return Disk;
  return std::nullopt;
}

bool Membership::tryChange(VoterSet Changed, const char *Action,
                           const ReplicaName &Name, const DiskIdentity &Disk) {
  Duration Window = this->Core.options().ElectionTimeout;
  // A change that its own majority cannot commit would only block the log.
  bool CanCommit =
      Changed.hasMajority([this, Window](const DiskIdentity &Voter) {
        return this->Leading.isLive(Voter, Window);
      });
  if (!CanCommit)
    return false;
  this->Core.logger().info("{}: {} disk {} of {}, {} voters",
                           this->Core.options().Self.str(), Action, Disk.str(),
                           Name.str(), Changed.Voters.size());
  this->Core.appendOwn(EntryType::VoterSet, dumpJson(Changed.toJson()));
  return true;
}

} // namespace amaranthward
