#ifndef AMARANTHWARD_LIBCONSENSUS_SNAPSHOTSTORE_H
#define AMARANTHWARD_LIBCONSENSUS_SNAPSHOTSTORE_H

#include "libconsensus/folder.h"
#include "libconsensus/voterset.h"
#include "libcore/ids.h"
#include <memory>

namespace amaranthward {

/// The state after the entry at \a Last.
struct Snapshot {
  LogIndex Last;
  Term LastTerm;
  VoterSet Voters;
  std::string State;
};

/// Keeps the newest snapshot on disk and in memory.
class SnapshotStore {
public:
  /// Fails with Corrupt when the newest snapshot is damaged.
  static Result<SnapshotStore> create(std::shared_ptr<Folder> Files);

  /// Null before the first snapshot.
  std::shared_ptr<const Snapshot> newest() const { return this->Newest; }
  /// Durable on success. Older snapshots are removed.
  Result<void> save(Snapshot Taken);

private:
  explicit SnapshotStore(std::shared_ptr<Folder> Files)
      : Files(std::move(Files)) {}
  Result<void> load(const std::string &Name);
  Result<void> removeOlderThan(const std::string &Name);

  std::shared_ptr<Folder> Files;
  std::shared_ptr<const Snapshot> Newest;
};

} // namespace amaranthward

#endif
