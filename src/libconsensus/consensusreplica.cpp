#include "libconsensus/consensusreplica.h"

#include "libconsensus/election.h"
#include "libconsensus/logreceiver.h"
#include "libconsensus/membership.h"
#include "libconsensus/replicator.h"
#include "libconsensus/wire.h"
#include <spdlog/logger.h>

namespace amaranthward {

namespace {

/// At most one line in this time about messages that are dropped.
constexpr Duration DropLogInterval = std::chrono::seconds(5);

} // namespace

class ConsensusReplica::Impl {
public:
  explicit Impl(std::unique_ptr<ReplicaCore> Opened)
      : Core(std::move(Opened)), Voting(*Core, [this] { Leading.start(); }),
        Leading(*Core), Following(*Core), Members(*Core, Leading) {}

  void propose(std::string Payload, Done Callback);
  void receive(const ReplicaName &From, const Json &Message);
  void tick();
  void confirmRead(Done Callback);
  Result<ReplicaName> transferLeadership();
  Json status() const;
  std::vector<ReplicaName> learners() const;
  /// Ends every call: reports outcomes and role changes.
  void finish();

  std::unique_ptr<ReplicaCore> Core;

private:
  void dispatch(const ReplicaName &From, const Json &Message);
  void dispatchFromLeader(const ReplicaName &From, const Json &Message);
  bool isAddressed(const ReplicaName &From, const Json &Message);
  bool adoptTerm(const Json &Message);
  void dropped(const ReplicaName &From, const char *Reason);
  Error notLeader() const;

  Election Voting;
  Replicator Leading;
  LogReceiver Following;
  Membership Members;
  Instant NextDropLog;
};

Error ConsensusReplica::Impl::notLeader() const {
  std::string Leader = this->Core->leader().str();
  if (this->Core->isLeader())
    return {ErrorCode::Refused, "leadership is being handed over"};
  return {ErrorCode::Refused, Leader.empty()
                                  ? "not the leader; no leader is known"
                                  : "not the leader; the leader is " + Leader};
}

void ConsensusReplica::Impl::propose(std::string Payload, Done Callback) {
  const ReplicaOptions &Options = this->Core->options();
  Proposals &Pending = this->Core->proposals();
  if (!this->Core->isLeader() || this->Leading.isTransferring())
    Pending.settle(std::move(Callback), tl::make_unexpected(this->notLeader()));
  else if (Payload.size() > Options.MaxPayloadBytes)
    Pending.settle(std::move(Callback),
                   fail(ErrorCode::InvalidArgument,
                        "payload is larger than " +
                            std::to_string(Options.MaxPayloadBytes) +
                            " bytes"));
  else if (Pending.size() >= Options.MaxPendingProposals)
    Pending.settle(std::move(Callback),
                   fail(ErrorCode::Exhausted, "too many pending proposals"));
  else
    Pending.add(this->Core->appendOwn(EntryType::Payload, std::move(Payload)),
                std::move(Callback));
}

void ConsensusReplica::Impl::dropped(const ReplicaName &From,
                                     const char *Reason) {
  if (this->Core->now() < this->NextDropLog)
    return;
  this->NextDropLog = this->Core->now() + DropLogInterval;
  this->Core->logger().warn("{}: message from \"{}\" ignored: {}",
                            this->Core->options().Self.str(), From.str(),
                            Reason);
}

bool ConsensusReplica::Impl::isAddressed(const ReplicaName &From,
                                         const Json &Message) {
  if (!Message.is_object() || textAt(Message, "from").empty()) {
    this->dropped(From, "it is malformed");
    return false;
  }
  if (!this->Members.isPeer(From)) {
    this->dropped(From, "the sender is not a peer in the settings");
    return false;
  }
  std::string Cluster = textAt(Message, "cluster");
  std::string Own = this->Core->voters().Cluster.str();
  if (!Own.empty() && !Cluster.empty() && Cluster != Own) {
    this->dropped(From, "the sender belongs to another cluster");
    return false;
  }
  std::string To = textAt(Message, "to");
  return To == this->Core->identity().str() ||
         (To.empty() && textAt(Message, "type") == wire::Hello);
}

bool ConsensusReplica::Impl::adoptTerm(const Json &Message) {
  Term Sent(numberAt(Message, "term"));
  if (Sent <= this->Core->term())
    return true;
  if (!this->Core->persistTerm(Sent, DiskIdentity()))
    return false;
  this->Core->becomeFollower(ReplicaName());
  return true;
}

void ConsensusReplica::Impl::receive(const ReplicaName &From,
                                     const Json &Message) {
  if (!this->Core->hasFailed() && this->isAddressed(From, Message))
    this->dispatch(From, Message);
}

void ConsensusReplica::Impl::dispatch(const ReplicaName &From,
                                      const Json &Message) {
  std::string Type = textAt(Message, "type");
  if (Type == wire::Hello)
    return this->Members.receiveHello(From, Message);
  if (Type == wire::Form)
    return this->Members.receiveForm(From, Message);
  if (Type == wire::Voters)
    return this->Members.receiveVoters(Message);
  if (Type == wire::Append || Type == wire::Snapshot)
    return this->dispatchFromLeader(From, Message);
  // A replica without a first record has no cluster to vote in.
  if (this->Core->isEmpty())
    return;
  if (Type == wire::PreVote)
    return this->Voting.receivePreVote(From, Message);
  if (Type == wire::Vote)
    return this->Voting.receiveVote(From, Message);
  if (!this->adoptTerm(Message))
    return;
  if (Type == wire::PreVoteReply)
    this->Voting.receivePreVoteReply(Message);
  else if (Type == wire::VoteReply)
    this->Voting.receiveVoteReply(Message);
  else if (Type == wire::AppendReply)
    this->Leading.receiveAppendReply(Message);
  else if (Type == wire::SnapshotReply)
    this->Leading.receiveSnapshotReply(Message);
  else if (Type == wire::TimeoutNow &&
           Term(numberAt(Message, "term")) == this->Core->term())
    this->Voting.receiveTimeoutNow();
  else
    this->dropped(From, "its type is unknown or its term is over");
}

void ConsensusReplica::Impl::dispatchFromLeader(const ReplicaName &From,
                                                const Json &Message) {
  Term Sent(numberAt(Message, "term"));
  if (Sent < this->Core->term()) {
    // The answer carries the newer term, so that an old leader steps down.
    this->Core->send(From, DiskIdentity(textAt(Message, "from")),
                     wire::AppendReply, {{"ok", false}});
    return;
  }
  if (!this->adoptTerm(Message))
    return;
  if (this->Core->isLeader())
    return this->dropped(From, "it claims to lead the term of this leader");
  this->Core->becomeFollower(From);
  this->Voting.noteLeader();
  if (textAt(Message, "type") == wire::Append)
    this->Following.receiveAppend(From, Message);
  else
    this->Following.receiveChunk(From, Message);
}

void ConsensusReplica::Impl::tick() {
  if (this->Core->hasFailed())
    return;
  bool WasLeader = this->Core->isLeader();
  auto Flushed = this->Core->flush();
  if (this->Core->hasFailed())
    return;
  bool DiskWasFull = !Flushed;
  // A leader without space for the first record of its term makes way.
  if (DiskWasFull && WasLeader && !this->Core->isLeader())
    this->Voting.holdOff(4 * this->Core->options().ElectionTimeout);
  this->Following.sendAnswers(DiskWasFull);
  this->Following.advanceCommit();
  if (this->Core->isLeader())
    this->Leading.tick();
  this->Voting.tick();
  this->Members.tick(this->Voting.hasLiveLeader());
  this->Core->takeSnapshotIfDue();
}

void ConsensusReplica::Impl::finish() {
  if (!this->Core->isLeader())
    this->Leading.stop();
  this->Core->proposals().drain();
  if (this->Core->takeRoleChange() && this->Core->hooks().OnRoleChange)
    this->Core->hooks().OnRoleChange();
}

void ConsensusReplica::Impl::confirmRead(Done Callback) {
  if (this->Core->isLeader())
    this->Leading.confirmRead(std::move(Callback));
  else
    this->Core->proposals().settle(std::move(Callback),
                                   tl::make_unexpected(this->notLeader()));
}

Result<ReplicaName> ConsensusReplica::Impl::transferLeadership() {
  if (!this->Core->isLeader())
    return tl::make_unexpected(this->notLeader());
  return this->Leading.transfer();
}

std::vector<ReplicaName> ConsensusReplica::Impl::learners() const {
  std::vector<ReplicaName> Names;
  for (const auto &[Disk, Peer] : this->Leading.peers())
    if (!this->Core->voters().contains(Disk))
      Names.push_back(Peer.Name);
  return Names;
}

Json ConsensusReplica::Impl::status() const {
  const ReplicaCore &Own = *this->Core;
  Json Peers = Json::object();
  for (const auto &[Disk, Peer] : this->Leading.peers())
    Peers[Disk.str()] = {
        {"name", Peer.Name.str()},
        {"voter", Own.voters().contains(Disk)},
        {"match", Peer.Match.value()},
        {"next", Peer.Next.value()},
        {"probing", Peer.Probing},
        {"sending_snapshot", Peer.Sending != nullptr},
        {"live", this->Leading.isLive(Disk, Own.options().ElectionTimeout)}};
  auto Newest = Own.snapshot();
  return {{"name", Own.options().Self.str()},
          {"identity", Own.identity().str()},
          {"role", toString(Own.role())},
          {"leader", Own.leader().str()},
          {"term", Own.term().value()},
          {"commit", Own.commitIndex().value()},
          {"first", Own.log().firstIndex().value()},
          {"last", Own.log().lastIndex().value()},
          {"synced", Own.log().syncedIndex().value()},
          {"log_bytes", Own.log().segmentBytes()},
          {"snapshot", Newest ? Newest->Last.value() : 0},
          {"voter_set", Own.voters().toJson()},
          {"voter_set_index", Own.voterSetIndex().value()},
          {"disk_full", Own.isDiskFull()},
          {"failed", Own.hasFailed()},
          {"peers", std::move(Peers)}};
}

Result<std::unique_ptr<ConsensusReplica>>
ConsensusReplica::create(ReplicaOptions Options, ReplicaHooks Hooks) {
  if (Options.Self.empty())
    return fail(ErrorCode::InvalidArgument, "replica has no name");
  if (!Hooks.Send || !Hooks.Apply || !Hooks.TakeSnapshot ||
      !Hooks.RestoreSnapshot || !Hooks.Now || !Hooks.Random)
    return fail(ErrorCode::InvalidArgument, "a hook of the replica is not set");
  auto Core = ReplicaCore::create(std::move(Options), std::move(Hooks));
  if (!Core)
    return tl::make_unexpected(Core.error());
  return std::unique_ptr<ConsensusReplica>(
      new ConsensusReplica(std::make_unique<Impl>(std::move(*Core))));
}

ConsensusReplica::ConsensusReplica(std::unique_ptr<Impl> Inner)
    : Inner(std::move(Inner)) {}

ConsensusReplica::~ConsensusReplica() = default;

void ConsensusReplica::propose(std::string Payload, Done Callback) {
  this->Inner->propose(std::move(Payload), std::move(Callback));
  this->Inner->finish();
}

void ConsensusReplica::receive(const ReplicaName &From, const Json &Message) {
  this->Inner->receive(From, Message);
  this->Inner->finish();
}

void ConsensusReplica::tick() {
  this->Inner->tick();
  this->Inner->finish();
}

void ConsensusReplica::confirmRead(Done Callback) {
  this->Inner->confirmRead(std::move(Callback));
  this->Inner->finish();
}

Result<ReplicaName> ConsensusReplica::transferLeadership() {
  return this->Inner->transferLeadership();
}

bool ConsensusReplica::isLeader() const {
  return this->Inner->Core->isLeader();
}
ReplicaName ConsensusReplica::leader() const {
  return this->Inner->Core->leader();
}
Term ConsensusReplica::term() const { return this->Inner->Core->term(); }
LogIndex ConsensusReplica::commitIndex() const {
  return this->Inner->Core->commitIndex();
}
LogIndex ConsensusReplica::lastIndex() const {
  return this->Inner->Core->log().lastIndex();
}
DiskIdentity ConsensusReplica::identity() const {
  return this->Inner->Core->identity();
}
ClusterId ConsensusReplica::clusterId() const {
  return this->Inner->Core->voters().Cluster;
}
bool ConsensusReplica::hasFailed() const {
  return this->Inner->Core->hasFailed();
}
bool ConsensusReplica::isDiskFull() const {
  return this->Inner->Core->isDiskFull();
}
std::vector<ReplicaName> ConsensusReplica::voters() const {
  std::vector<ReplicaName> Names;
  for (const auto &[Disk, Name] : this->Inner->Core->voters().Voters)
    Names.push_back(Name);
  return Names;
}
void ConsensusReplica::setPeers(std::vector<ReplicaName> Names) {
  this->Inner->Core->setPeers(std::move(Names));
}
std::vector<ReplicaName> ConsensusReplica::learners() const {
  return this->Inner->learners();
}
Json ConsensusReplica::status() const { return this->Inner->status(); }

} // namespace amaranthward
