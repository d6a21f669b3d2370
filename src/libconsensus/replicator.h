#ifndef AMARANTHWARD_LIBCONSENSUS_REPLICATOR_H
#define AMARANTHWARD_LIBCONSENSUS_REPLICATOR_H

#include "libconsensus/progress.h"
#include "libconsensus/replicacore.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace amaranthward {

/// The leader's part: sends entries, heartbeats and snapshots, advances the
/// commit index, confirms reads and hands leadership over.
class Replicator {
public:
  using Done = std::function<void(Result<LogIndex>)>;

  explicit Replicator(ReplicaCore &Core) : Core(Core) {}

  /// The core has become the leader.
  void start();
  /// The core is no longer the leader.
  void stop();
  void tick();

  void receiveAppendReply(const Json &Message);
  void receiveSnapshotReply(const Json &Message);

  void confirmRead(Done Callback);
  Result<ReplicaName> transfer();
  bool isTransferring() const { return this->TransferTo.has_value(); }

  /// Learners get entries but do not count.
  void setLearner(const DiskIdentity &Disk, const ReplicaName &Name);
  const std::map<DiskIdentity, Progress> &peers() const { return this->Peers; }
  /// True for this replica and for disks that answered within \a Window.
  bool isLive(const DiskIdentity &Disk, Duration Window) const;

private:
  struct Read {
    std::uint64_t Round;
    LogIndex Needed;
    Done Callback;
  };

  void syncPeers();
  void addPeer(const DiskIdentity &Disk, const ReplicaName &Name, bool Assumed);
  void advanceCommit();
  void answerReads();
  bool hasQuorum() const;
  void tickTransfer();
  void sendTo(const DiskIdentity &Disk, Progress &Peer, bool Heartbeat);
  void sendEntries(const DiskIdentity &Disk, Progress &Peer);
  void sendAppend(const DiskIdentity &Disk, Progress &Peer, bool WithEntries);
  void sendChunk(const DiskIdentity &Disk, Progress &Peer);
  Progress *answering(const Json &Message);

  ReplicaCore &Core;
  std::map<DiskIdentity, Progress> Peers;
  std::map<ReplicaName, DiskIdentity> Learners;
  std::uint64_t Round = 0;
  bool HeartbeatDue = false;
  std::vector<Read> Reads;
  std::optional<DiskIdentity> TransferTo;
  Instant TransferDeadline;
  Instant TransferSent;
};

} // namespace amaranthward

#endif
