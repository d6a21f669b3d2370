#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCSERVER_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCSERVER_H

#include "libdistribution/distributedstate.h"
#include "libdistribution/incomingtransfer.h"
#include "libdistribution/joinlimiter.h"
#include "libdistribution/syncmessages.h"
#include <functional>
#include <memory>
#include <unordered_map>

namespace amaranthward {

struct SyncServerOptions {
  /// Time for which a request is held when nothing has changed.
  Duration Hold = std::chrono::seconds(1);
  /// Approximate bound on the chunks of one response. 2,000 routes fit into
  /// one, as each further chunk waits for a turn of a busy event loop at each
  /// level.
  std::size_t MaxChunkBytes = std::size_t(512) * 1024;
  /// Minimum time between two releases of member changes to children.
  Duration MemberLinger = std::chrono::milliseconds(100);
  /// A child without a request for this time is treated as new.
  Duration ChildTimeout = std::chrono::seconds(10);
  JoinLimiterOptions Joins;
};

struct SyncServerHooks {
  /// Time since this process last had contact with the leader; unset at the
  /// leader.
  std::function<Duration(Instant)> SourceAge;
  /// The names for SyncResponse::Chain; unset at the leader. Call
  /// SyncServer::announceChain after a change.
  std::function<std::vector<NodeName>()> Chain;
  /// Leader only: the revision in force, if a majority confirmed the leadership
  /// in a round that began at or after the given time. Call SyncServer::wake
  /// after each round. Unset on relays.
  std::function<std::optional<Revision>(Instant)> ConfirmedSince;
  /// Leader only: the parents that a child should use, empty when it should
  /// stay at the leader (see MemberView::parentsFor). Unset on relays.
  std::function<std::vector<ParentCandidate>(const SyncRequest &)> ParentsFor;
  /// Called for each request with the urgency of its reports. The leader
  /// consumes the reports with SyncServer::takeUplink; a relay forwards them
  /// with SyncClient::addUplink.
  std::function<void(Urgency)> OnUplink;
  RandomFunction Random;
};

/// Parent side of the sync protocol (long polling), at the control leader and
/// at relays. A request without an update is parked, that is held unanswered,
/// until a change arrives or the hold time ends; at most one for each child.
class SyncServer {
public:
  using Complete = std::function<void(const SyncResponse &)>;

  static Result<std::unique_ptr<SyncServer>>
  create(const DistributedState &State, SyncServerOptions Options,
         SyncServerHooks Hooks);

  /// Answers through \a OnAnswer: at once when the child needs an update,
  /// otherwise when a change arrives or the hold time ends. A parked request of
  /// the same node is answered first, without an update. A report is always
  /// answered at once and leaves a parked request as it is.
  void handle(const SyncRequest &Request, Instant Now, Complete OnAnswer);
  /// Drops a parked request without an answer, because its connection closed.
  void abandon(const NodeName &Node, std::uint64_t Sequence);

  /// Hands \a Chunk, which this relay's parent sent in answer to a request with
  /// \a Cursor, on to children that wait for it. Called before the relay itself
  /// puts the transfer in force; see IncomingTransfer::add().
  void passOn(const ClusterId &Cluster,
              const std::optional<TableCursor> &Cursor, SharedChunk Chunk,
              Instant Now);
  /// Must be called after each change of the state. Replicated changes are sent
  /// to waiting children at once, member changes after the linger time.
  void wake(Instant Now);
  /// Like \a wake, but sends member changes without the linger time.
  void wakeAll(Instant Now);
  /// Must be called after each change of SyncServerHooks::Chain. Answers all
  /// parked requests, so that a cycle shows without waiting for the hold time.
  void announceChain(Instant Now);
  /// Answers requests whose hold time or linger time has ended.
  void tick(Instant Now);
  /// Time at which \a tick has work next.
  std::optional<Instant> nextDeadline() const;

  /// Returns and clears the reports of children since the last call.
  UplinkBatch takeUplink();
  /// Number of requests held.
  std::size_t parked() const { return this->Parked.size(); }
  /// Number of children with a request within ChildTimeout.
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
  void handleReport(const SyncRequest &Report, Instant Now,
                    const Complete &OnAnswer);
  Urgency collectUplink(const SyncRequest &Request);
  bool admit(const SyncRequest &Request, Instant Now, const Complete &OnAnswer);
  std::optional<Revision> confirmation(const ParkedRequest &Waiting) const;
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request) const;
  bool hasReplicatedNews(const SyncRequest &Request) const;
  SharedChunk incomingChunkFor(const SyncRequest &Request) const;
  bool isReady(const ParkedRequest &Waiting, Instant Now) const;
  SyncResponse statusFor(const SyncRequest &Request, Instant Now) const;
  void answer(const ParkedRequest &Waiting, Instant Now);
  void addChunks(const SyncRequest &Request, SyncResponse &Response);
  void addCompressedChunks(const SyncRequest &Request, SyncResponse &Response);
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
  ChunkCache ReplicatedChunks;
  ChunkCache MemberChunks;
  IncomingTransfer Incoming;
  /// Member changes up to this version are sent to children.
  TableVersion ReleasedMembers;
  Instant LastMemberWake;
  std::optional<Instant> LingerEnds;
  Instant NextCleanup;
};

} // namespace amaranthward

#endif
