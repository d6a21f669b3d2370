#include "libconsensus/replicator.h"

#include "libconsensus/wire.h"
#include <algorithm>
#include <spdlog/logger.h>

namespace amaranthward {

namespace {

/// Heartbeat intervals without entries after a follower reported a full disk.
constexpr int FullDiskPause = 10;

} // namespace

void Replicator::start() {
  this->stop();
  this->syncPeers();
  this->HeartbeatDue = true;
}

void Replicator::stop() {
  this->Peers.clear();
  this->Learners.clear();
  this->TransferTo.reset();
  for (Read &One : this->Reads)
    this->Core.proposals().settle(
        std::move(One.Callback),
        fail(ErrorCode::Unavailable, "leadership was lost"));
  this->Reads.clear();
}

void Replicator::setLearner(const DiskIdentity &Disk, const ReplicaName &Name) {
  if (this->Core.voters().contains(Disk))
    return;
  this->Learners[Name] = Disk;
  this->syncPeers();
}

void Replicator::addPeer(const DiskIdentity &Disk, const ReplicaName &Name,
                         bool Assumed) {
  if (this->Peers.contains(Disk) || Disk == this->Core.identity())
    return;
  Progress Peer;
  Peer.Name = Name;
  Peer.Next = this->Core.log().syncedIndex().next();
  // Voters get one election timeout to answer a new leader.
  if (Assumed)
    Peer.LastHeard = this->Core.now();
  this->Peers.emplace(Disk, std::move(Peer));
}

void Replicator::syncPeers() {
  const VoterSet &Voters = this->Core.voters();
  std::erase_if(this->Learners, [&Voters](const auto &Learner) {
    return Voters.contains(Learner.second);
  });
  for (const auto &[Disk, Name] : Voters.Voters)
    this->addPeer(Disk, Name, /*Assumed=*/true);
  for (const auto &[Name, Disk] : this->Learners)
    this->addPeer(Disk, Name, /*Assumed=*/false);
  std::erase_if(this->Peers, [this, &Voters](const auto &Peer) {
    auto Learner = this->Learners.find(Peer.second.Name);
    return !Voters.contains(Peer.first) &&
           (Learner == this->Learners.end() || Learner->second != Peer.first);
  });
}

bool Replicator::isLive(const DiskIdentity &Disk, Duration Window) const {
  if (Disk == this->Core.identity())
    return true;
  auto Found = this->Peers.find(Disk);
  return Found != this->Peers.end() && Found->second.LastHeard != Instant() &&
         this->Core.now() - Found->second.LastHeard < Window;
}

bool Replicator::hasQuorum() const {
  Duration Window = this->Core.options().ElectionTimeout;
  return this->Core.voters().hasMajority(
      [this, Window](const DiskIdentity &Disk) {
        return this->isLive(Disk, Window);
      });
}

void Replicator::tick() {
  this->syncPeers();
  if (!this->hasQuorum()) {
    this->Core.logger().warn("{}: steps down, no answer from a majority",
                             this->Core.options().Self.str());
    return this->Core.becomeFollower(ReplicaName());
  }
  this->advanceCommit();
  this->answerReads();
  this->tickTransfer();
  bool Now = std::exchange(this->HeartbeatDue, false);
  for (auto &[Disk, Peer] : this->Peers) {
    bool Overdue = this->Core.now() - Peer.LastSent >=
                   this->Core.options().HeartbeatInterval;
    this->sendTo(Disk, Peer, Now || Overdue);
  }
}

void Replicator::advanceCommit() {
  std::vector<LogIndex> Matches;
  for (const auto &[Disk, Name] : this->Core.voters().Voters) {
    if (Disk == this->Core.identity())
      Matches.push_back(this->Core.log().syncedIndex());
    else
      Matches.push_back(this->Peers.at(Disk).Match);
  }
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  LogIndex Held = Matches[this->Core.voters().majority() - 1];
  // An entry of an earlier term can still be overwritten although a majority
  // holds it; it commits together with one of the current term.
  if (Held > this->Core.commitIndex() &&
      this->Core.termAt(Held) == this->Core.term())
    this->Core.commitThrough(Held);
}

void Replicator::confirmRead(Done Callback) {
  // The round must start after the request, so that answers to heartbeats
  // already under way do not count.
  if (!this->HeartbeatDue)
    ++this->Round;
  this->HeartbeatDue = true;
  // A new leader knows that its commit index covers all acknowledged
  // proposals only after the first entry of its term has committed.
  LogIndex Needed = std::max(this->Core.commitIndex(), this->Core.termStart());
  this->Reads.push_back({this->Round, Needed, std::move(Callback)});
}

void Replicator::answerReads() {
  std::vector<Read> Waiting;
  for (Read &One : std::exchange(this->Reads, {})) {
    auto Heard = [this, &One](const DiskIdentity &Disk) {
      auto Found = this->Peers.find(Disk);
      return Disk == this->Core.identity() ||
             (Found != this->Peers.end() &&
              Found->second.HeardRound >= One.Round);
    };
    if (One.Needed <= this->Core.commitIndex() &&
        this->Core.voters().hasMajority(Heard))
      this->Core.proposals().settle(std::move(One.Callback), One.Needed);
    else
      Waiting.push_back(std::move(One));
  }
  this->Reads = std::move(Waiting);
}

Result<ReplicaName> Replicator::transfer() {
  Duration Window = this->Core.options().ElectionTimeout;
  const Progress *Best = nullptr;
  DiskIdentity BestDisk;
  for (const auto &[Disk, Peer] : this->Peers) {
    bool Suitable =
        this->Core.voters().contains(Disk) && this->isLive(Disk, Window);
    if (Suitable && (!Best || Peer.Match > Best->Match)) {
      Best = &Peer;
      BestDisk = Disk;
    }
  }
  if (!Best)
    return fail(ErrorCode::Unavailable, "no other voter is in contact");
  this->TransferTo = BestDisk;
  this->TransferDeadline = this->Core.now() + Window;
  this->TransferSent = Instant();
  return Best->Name;
}

void Replicator::tickTransfer() {
  if (!this->TransferTo)
    return;
  auto Target = this->Peers.find(*this->TransferTo);
  if (Target == this->Peers.end() ||
      this->Core.now() >= this->TransferDeadline) {
    this->TransferTo.reset();
    return;
  }
  bool Due = this->Core.now() - this->TransferSent >=
             this->Core.options().HeartbeatInterval;
  if (Due && Target->second.Match == this->Core.log().lastIndex()) {
    this->TransferSent = this->Core.now();
    this->Core.send(Target->second.Name, Target->first, wire::TimeoutNow,
                    Json::object());
  }
}

Progress *Replicator::answering(const Json &Message) {
  auto Found = this->Peers.find(DiskIdentity(textAt(Message, "from")));
  if (!this->Core.isLeader() || Found == this->Peers.end() ||
      Term(numberAt(Message, "term")) != this->Core.term())
    return nullptr;
  Progress &Peer = Found->second;
  Peer.LastHeard = this->Core.now();
  Peer.HeardRound = std::max(
      Peer.HeardRound,
      std::min<std::uint64_t>(this->Round, numberAt(Message, "round")));
  return &Peer;
}

void Replicator::receiveAppendReply(const Json &Message) {
  Progress *Peer = this->answering(Message);
  if (!Peer)
    return;
  if (boolAt(Message, "ok")) {
    LogIndex Match(numberAt(Message, "match"));
    if (Match <= this->Core.log().syncedIndex())
      Peer->confirm(Match);
    return;
  }
  if (boolAt(Message, "full")) {
    Peer->Sending.reset();
    Peer->restartAt(Peer->Match.next());
    Peer->PausedUntil = this->Core.now() +
                        FullDiskPause * this->Core.options().HeartbeatInterval;
    return;
  }
  LogIndex Hint(numberAt(Message, "hint"));
  // A hint at or below the match is an answer overtaken by newer ones.
  if (Hint > Peer->Match && Hint < Peer->Next && !Peer->Sending) {
    Peer->restartAt(Hint);
    Peer->LastSent = Instant();
  }
}

void Replicator::receiveSnapshotReply(const Json &Message) {
  Progress *Peer = this->answering(Message);
  if (!Peer || !Peer->Sending ||
      LogIndex(numberAt(Message, "last")) != Peer->Sending->Last)
    return;
  std::uint64_t Offset = numberAt(Message, "offset");
  if (Offset > Peer->Sending->State.size() || Offset == Peer->SendOffset)
    return;
  Peer->SendOffset = Offset;
  Peer->ChunkSent = false;
}

} // namespace amaranthward
