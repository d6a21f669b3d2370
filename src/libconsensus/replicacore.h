#ifndef AMARANTHWARD_LIBCONSENSUS_REPLICACORE_H
#define AMARANTHWARD_LIBCONSENSUS_REPLICACORE_H

#include "libconsensus/consensusreplica.h"
#include "libconsensus/hardstate.h"
#include "libconsensus/logstore.h"
#include "libconsensus/proposals.h"
#include "libconsensus/snapshotstore.h"
#include "libconsensus/voterset.h"
#include <memory>
#include <optional>
#include <vector>

namespace spdlog {
class logger;
}

namespace amaranthward {

enum class Role { Follower, PreCandidate, Candidate, Leader };

const char *toString(Role Which);

/// State that the parts of one replica share: storage, term, role, voter sets
/// and the commit index.
class ReplicaCore {
public:
  /// Opens the storage and restores the newest snapshot.
  static Result<std::unique_ptr<ReplicaCore>> create(ReplicaOptions Options,
                                                     ReplicaHooks Hooks);

  const ReplicaOptions &options() const { return this->Options; }
  void setPeers(std::vector<ReplicaName> Names) {
    this->Options.Peers = std::move(Names);
  }
  const ReplicaHooks &hooks() const { return this->Hooks; }
  const LogStore &log() const { return this->Log; }
  std::shared_ptr<const Snapshot> snapshot() const {
    return this->Snapshots.newest();
  }
  Proposals &proposals() { return this->Pending; }
  spdlog::logger &logger() const { return *this->Logger; }
  Instant now() const { return this->Hooks.Now(); }

  const DiskIdentity &identity() const { return this->Hard.identity(); }
  const DiskIdentity &vote() const { return this->Hard.vote(); }
  Term term() const { return this->Hard.term(); }
  Role role() const { return this->CurrentRole; }
  bool isLeader() const { return this->CurrentRole == Role::Leader; }
  const ReplicaName &leader() const { return this->KnownLeader; }
  bool hasFailed() const { return this->Failed; }
  bool isDiskFull() const { return this->DiskFull; }
  LogIndex commitIndex() const { return this->Committed; }
  LogIndex termStart() const { return this->TermStart; }

  /// The newest voter set in the log, committed or not.
  const VoterSet &voters() const { return this->Sets.back().second; }
  /// Log index of \a voters().
  LogIndex voterSetIndex() const { return this->Sets.back().first; }
  bool isVoter() const { return this->voters().contains(this->identity()); }
  /// True until the replica holds a first record or a snapshot.
  bool isEmpty() const { return this->voters().empty(); }

  /// Nothing when the log no longer or not yet holds the entry.
  std::optional<Term> termAt(LogIndex Index) const;
  Term lastTerm() const;

  void send(const ReplicaName &To, const DiskIdentity &ToDisk, const char *Type,
            Json Body) const;

  /// Makes term and vote durable. False when that failed; then the caller
  /// must act as if it had not received the message that caused the call.
  bool persistTerm(Term Next, const DiskIdentity &Vote);
  void becomeFollower(const ReplicaName &Leader);
  void becomeCandidate(Role Kind);
  /// Appends the no-op that starts the leader's term.
  void becomeLeader();

  /// Appends a pending entry of the current term.
  LogIndex appendOwn(EntryType Type, std::string Payload);
  void appendReceived(LogEntry Entry);
  /// False when the storage failed.
  bool truncateFrom(LogIndex Index);
  /// Makes pending entries durable. On Exhausted they are dropped.
  Result<void> flush();
  /// Applies entries up to \a Index, which must be held.
  void commitThrough(LogIndex Index);

  void takeSnapshotIfDue();
  /// Replaces the state by a snapshot of the leader. On Exhausted nothing has
  /// changed.
  Result<void> install(Snapshot Received);

  /// Takes the replica out of service until it is restarted.
  void failStorage(const Error &Cause);
  /// Reports whether role, leader or term changed since the last call.
  bool takeRoleChange();

private:
  ReplicaCore(ReplicaOptions Options, ReplicaHooks Hooks, HardState Hard,
              LogStore Log, SnapshotStore Snapshots);
  Result<void> recover();
  void scanVoterSets();
  void noteVoterSet(const LogEntry &Entry);
  void dropVoterSetsAfter(LogIndex Index);
  void handleFullDisk(const Error &Cause);
  /// Log bytes after the last snapshot that cause the next one.
  std::size_t snapshotThreshold() const;
  const VoterSet &votersAt(LogIndex Index) const;

  ReplicaOptions Options;
  ReplicaHooks Hooks;
  HardState Hard;
  LogStore Log;
  SnapshotStore Snapshots;
  Proposals Pending;
  std::shared_ptr<spdlog::logger> Logger;

  Role CurrentRole = Role::Follower;
  ReplicaName KnownLeader;
  bool RoleChanged = false;
  bool Failed = false;
  bool DiskFull = false;
  LogIndex Committed;
  LogIndex TermStart;
  std::uint64_t BytesSinceSnapshot = 0;
  Instant NextSnapshot;
  /// Voter sets of the snapshot and of the log after it, by log index.
  std::vector<std::pair<LogIndex, VoterSet>> Sets;
};

} // namespace amaranthward

#endif
