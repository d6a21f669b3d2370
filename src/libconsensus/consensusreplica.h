#ifndef AMARANTHWARD_LIBCONSENSUS_CONSENSUSREPLICA_H
#define AMARANTHWARD_LIBCONSENSUS_CONSENSUSREPLICA_H

#include "libconsensus/folder.h"
#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

/// Membership of replicas that the settings do not all name.
struct OpenMembership {
  /// The replica may form the first cluster together with all peers; false
  /// for a replica that only ever joins an existing one.
  bool MayForm = false;
  /// Voters that the leader aims at. A learner beyond them replaces a voter
  /// that is dead.
  std::size_t TargetVoters = 5;
  /// A voter that is silent for this time may be replaced by a learner.
  Duration DeadVoterAfter = std::chrono::seconds(3);
};

struct ReplicaOptions {
  ReplicaName Self;
  /// Replicas named in the settings; may or may not contain \a Self.
  std::vector<ReplicaName> Peers;
  /// None: \a Peers are all replicas that there are.
  std::optional<OpenMembership> Open;
  /// Created when missing. One replica owns it exclusively.
  std::string DataFolder;
  Duration HeartbeatInterval = std::chrono::milliseconds(100);
  /// Timers are drawn from one to two times this value.
  Duration ElectionTimeout = std::chrono::milliseconds(500);
  /// Largest payload that \a propose accepts.
  std::size_t MaxPayloadBytes = 8U << 20;
  /// Payload bytes in one append message; a larger record travels alone.
  std::size_t MaxAppendBytes = 256U << 10;
  std::size_t SnapshotChunkBytes = 256U << 10;
  std::size_t SegmentBytes = 1U << 20;
  /// Log bytes after the last snapshot that cause the next one.
  std::size_t SnapshotAfterBytes = 4U << 20;
  /// The same as a multiple of the last snapshot's size; the larger one counts.
  /// It keeps the cost of snapshots in proportion to the log when the state is
  /// large. 0 for none.
  std::size_t SnapshotLogRatio = 0;
  /// Limit on the size of all log segments; 0 for none.
  std::uint64_t LogQuotaBytes = 0;
  /// Proposals that may wait for their outcome at one time.
  std::size_t MaxPendingProposals = 10000;
};

/// Calls out of the replica. All are called on the caller's thread, from
/// inside \a create, \a propose, \a receive, \a tick or \a confirmRead.
struct ReplicaHooks {
  /// Sends one message; may lose, delay or duplicate it. The receiver passes
  /// it to \a receive. Payloads are base64, so any JSON encoding is safe.
  std::function<void(const ReplicaName &To, const Json &Message)> Send;
  /// Called once per committed payload, in log order. After a restart the
  /// payloads after the last snapshot are applied again.
  std::function<void(LogIndex, Term, const std::string &Payload)> Apply;
  /// Serializes the state after all payloads applied so far.
  std::function<std::string()> TakeSnapshot;
  /// Replaces the whole state; also called by \a create.
  std::function<void(const std::string &State, LogIndex Last)> RestoreSnapshot;
  MonotonicClockFunction Now;
  RandomFunction Random;
  /// Called after the role, the known leader or the term has changed.
  std::function<void()> OnRoleChange;
  /// Replaces the files below \a DataFolder, for tests; may be null.
  std::shared_ptr<Folder> Files;
};

/// One member of a replicated log. Single-threaded; does nothing unless it is
/// called.
class ConsensusReplica {
public:
  /// Opens the data folder and restores the last snapshot. Fails with
  /// Corrupt (file and offset in the message), Io or InvalidArgument.
  static Result<std::unique_ptr<ConsensusReplica>> create(ReplicaOptions,
                                                          ReplicaHooks);
  ~ConsensusReplica();

  using Done = std::function<void(Result<LogIndex>)>;

  /// Appends a payload. \a Done is called exactly once while the replica
  /// lives, with the index after the payload is committed and applied, or:
  /// Refused (not the leader; the message names the leader if known),
  /// InvalidArgument (too large) or Exhausted (disk full or too many
  /// proposals): not appended, a resend is safe.
  /// Unavailable: leadership or the disk was lost, outcome unknown.
  void propose(std::string Payload, Done);

  /// Handles a message of \a From; malformed messages are dropped.
  void receive(const ReplicaName &From, const Json &Message);

  /// Syncs pending records, sends messages and runs timers. Call it every
  /// 10 ms or so and after each batch of messages or proposals.
  void tick();

  /// Confirms by a heartbeat round to a majority that this replica still
  /// leads. \a Done receives an index that covers every proposal acknowledged
  /// before this call and that is applied here. Fails with Refused or
  /// Unavailable.
  void confirmRead(Done);

  /// Starts handing leadership to the most current voter and refuses
  /// proposals meanwhile. Gives up after one election timeout. Fails with
  /// Refused (not the leader) or Unavailable (no suitable voter).
  Result<ReplicaName> transferLeadership();

  /// Replaces the replicas that the settings name.
  void setPeers(std::vector<ReplicaName> Names);

  bool isLeader() const;
  /// Empty when unknown.
  ReplicaName leader() const;
  Term term() const;
  LogIndex commitIndex() const;
  LogIndex lastIndex() const;
  DiskIdentity identity() const;
  std::vector<ReplicaName> voters() const;
  /// Known to the leader only.
  std::vector<ReplicaName> learners() const;
  /// Empty before the first formation.
  ClusterId clusterId() const;
  /// True after a failed sync; the replica takes no part until restarted.
  bool hasFailed() const;
  /// True while the disk refuses records for lack of space.
  bool isDiskFull() const;
  /// State for dumps.
  Json status() const;

private:
  class Impl;
  explicit ConsensusReplica(std::unique_ptr<Impl>);
  std::unique_ptr<Impl> Inner;
};

} // namespace amaranthward

#endif
