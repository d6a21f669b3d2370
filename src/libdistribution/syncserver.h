#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCSERVER_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCSERVER_H

#include "libdistribution/distributedstate.h"
#include "libdistribution/joinlimiter.h"
#include "libdistribution/syncmessages.h"
#include <functional>
#include <memory>
#include <unordered_map>

namespace amaranthward {

struct SyncServerOptions {
  Duration Hold = std::chrono::seconds(1);
  std::size_t MaxChunkBytes = std::size_t(64) * 1024;
  /// Shortest time between two wake-ups for member changes.
  Duration MemberLinger = std::chrono::milliseconds(100);
  /// A child that has been silent for this time counts as new.
  Duration ChildTimeout = std::chrono::seconds(10);
  JoinLimiterOptions Joins;
};

struct SyncServerHooks {
  /// Time since this process heard from the leader; unset at the leader.
  std::function<Duration(Instant)> SourceAge;
  /// Leader only: the revision, if a majority confirmed the leadership in a
  /// round that began at or after the given time; call \a wake after each
  /// round. Unset on relays.
  std::function<std::optional<Revision>(Instant)> ConfirmedSince;
  /// Leader only: the parents that a child should use; empty when it should
  /// stay (MemberView::parentsFor). Unset on relays.
  std::function<std::vector<ParentCandidate>(const SyncRequest &)> ParentsFor;
  /// A child brought something to pass on. At the leader, consume it with
  /// \a takeUplink; on a relay, give it to SyncClient::addUplink.
  std::function<void(Urgency)> OnUplink;
  RandomFunction Random;
};

/// Parent side of the sync protocol, at the control leader and at relays.
class SyncServer {
public:
  using Complete = std::function<void(const SyncResponse &)>;

  static Result<std::unique_ptr<SyncServer>>
  create(const DistributedState &State, SyncServerOptions Options,
         SyncServerHooks Hooks);

  /// Answers through \a OnAnswer, at once when there is news and otherwise
  /// at the end of the hold time. A parked request of the same node is
  /// answered without news first.
  void handle(const SyncRequest &Request, Instant Now, Complete OnAnswer);
  /// The caller closed the connection; its request is forgotten unanswered.
  void abandon(const NodeName &Node, std::uint64_t Sequence);

  /// Call after each change of the state. Replicated changes are answered at
  /// once, member changes after the linger time.
  void wake(Instant Now);
  /// Answers every parked request that any change concerns, without linger.
  void wakeAll(Instant Now);
  /// Answers requests whose hold time or linger time is over.
  void tick(Instant Now);
  /// When \a tick has work next.
  std::optional<Instant> nextDeadline() const;

  /// What the children reported since the last call.
  UplinkBatch takeUplink();
  std::size_t parked() const { return this->Parked.size(); }
  /// Children heard from within the memory time.
  std::size_t children() const { return this->LastSeen.size(); }

private:
  struct ParkedRequest {
    SyncRequest Request;
    Instant Arrived;
    Instant Deadline;
    Complete OnAnswer;
  };

  SyncServer(const DistributedState &State, SyncServerOptions Options,
             SyncServerHooks Hooks);
  Urgency collectUplink(const SyncRequest &Request);
  bool admit(const SyncRequest &Request, Instant Now, const Complete &OnAnswer);
  std::optional<Revision> confirmation(const ParkedRequest &Waiting) const;
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request) const;
  bool hasReplicatedNews(const SyncRequest &Request) const;
  bool isReady(const ParkedRequest &Waiting, Instant Now) const;
  SyncResponse statusFor(const SyncRequest &Request, Instant Now) const;
  void answer(const ParkedRequest &Waiting, Instant Now) const;
  void addChunks(const SyncRequest &Request, SyncResponse &Response) const;
  void answerReadyRequests(Instant Now);
  void releaseMembers(Instant Now);
  void removeInactiveChildren(Instant Now);

  const DistributedState &State;
  SyncServerOptions Options;
  SyncServerHooks Hooks;
  JoinLimiter Joins;
  std::unordered_map<NodeName, ParkedRequest> Parked;
  std::unordered_map<NodeName, Instant> LastSeen;
  std::unordered_map<SessionId, Revision> LastAcknowledged;
  UplinkBatch CollectedUplink;
  /// Members up to this version are news for children.
  TableVersion ReleasedMembers;
  Instant LastMemberWake;
  std::optional<Instant> LingerEnds;
  Instant NextCleanup;
};

} // namespace amaranthward

#endif
