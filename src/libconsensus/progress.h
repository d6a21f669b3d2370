#ifndef AMARANTHWARD_LIBCONSENSUS_PROGRESS_H
#define AMARANTHWARD_LIBCONSENSUS_PROGRESS_H

#include "libconsensus/snapshotstore.h"
#include "libcore/ids.h"
#include "libcore/units.h"
#include <cstdint>
#include <deque>
#include <memory>

namespace amaranthward {

/// What the leader knows about the log of one other disk.
struct Progress {
  ReplicaName Name;
  LogIndex Match; ///< Durable there and equal to the leader's log.
  LogIndex Next;  ///< First entry to send.
  /// Until the first match is confirmed only empty messages are sent.
  bool Probing = true;
  Instant LastSent;
  Instant LastHeard;
  std::uint64_t HeardRound = 0; ///< Newest heartbeat round answered.
  /// No entries are sent before; set when the disk there is full.
  Instant PausedUntil;
  /// Last entry and size of each append message not yet answered.
  std::deque<std::pair<LogIndex, std::size_t>> Inflight;
  std::size_t InflightBytes = 0;
  /// Set while a snapshot is being sent.
  std::shared_ptr<const Snapshot> Sending;
  std::size_t SendOffset = 0;
  bool ChunkSent = false;

  void confirm(LogIndex Through);
  /// Continues from \a From after a probe.
  void restartAt(LogIndex From);
};

} // namespace amaranthward

#endif
