#ifndef AMARANTHWARD_LIBCONSENSUS_LOGRECEIVER_H
#define AMARANTHWARD_LIBCONSENSUS_LOGRECEIVER_H

#include "libconsensus/replicacore.h"
#include <vector>

namespace amaranthward {

/// The follower's part: takes entries and snapshots from the leader. Answers
/// are held until the entries they cover are durable.
class LogReceiver {
public:
  explicit LogReceiver(ReplicaCore &Core) : Core(Core) {}

  /// Messages must be of the current term and the core a follower.
  void receiveAppend(const ReplicaName &From, const Json &Message);
  void receiveChunk(const ReplicaName &From, const Json &Message);

  /// Sends the held answers. \a DiskWasFull: the pending entries were dropped.
  void sendAnswers(bool DiskWasFull);
  /// Applies what the leader reported as committed and is durable here.
  void advanceCommit();

private:
  struct Answer {
    ReplicaName To;
    DiskIdentity ToDisk;
    Term At;
    Json Body;
  };

  void answer(const ReplicaName &From, const Json &Message, Json Body);
  LogIndex conflictHint(LogIndex Previous) const;
  bool isOwnHistory(const std::vector<LogEntry> &Entries) const;
  bool store(std::vector<LogEntry> Entries);
  void finishSnapshot(const ReplicaName &From, const Json &Message);

  ReplicaCore &Core;
  std::vector<Answer> Held;
  /// Entries up to here are committed and equal to the leader's.
  LogIndex Committed;
  /// The snapshot under way.
  Snapshot Staged;
  DiskIdentity StagedFrom;
};

} // namespace amaranthward

#endif
