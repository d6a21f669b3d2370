#ifndef AMARANTHWARD_LIBDISTRIBUTION_RESOURCETABLE_H
#define AMARANTHWARD_LIBDISTRIBUTION_RESOURCETABLE_H

#include "libcore/resource.h"
#include "libdistribution/tablechunk.h"
#include <map>
#include <set>
#include <utility>

namespace amaranthward {

struct TableLimits {
  /// Maximum number of tombstones (records of removed keys). Dropping the
  /// oldest one raises the floor of the table.
  std::size_t MaxTombstones = 2048;
};

/// Versioned resources: each key has the version of its last change. Tombstones
/// record the removals after a minimum version, the floor; a receiver below the
/// floor needs a snapshot instead of a delta.
class ResourceTable {
public:
  /// Fails with InvalidArgument when MaxTombstones is 0.
  static Result<ResourceTable> create(TableLimits Limits = {});

  TableVersion current() const { return this->Current; }
  TableVersion floor() const { return this->Floor; }
  /// False while members may be missing because the leader is new.
  bool complete() const { return this->Complete; }
  const ResourceMap &resources() const { return this->Resources; }
  /// Null when the key is absent.
  const Json *find(const std::string &Key) const;
  std::optional<TableVersion> versionOf(const std::string &Key) const;
  /// Approximate encoded size of all resources.
  std::size_t snapshotBytes() const { return this->TotalBytes; }
  /// Approximate encoded size of the changes and removals after \a Since.
  std::size_t deltaBytes(TableVersion Since) const;

  /// Keys changed or removed after \a Since; absent when \a Since is of another
  /// epoch or below the floor, because removals may be missing.
  std::optional<std::vector<std::string>>
  keysChangedSince(TableVersion Since) const;

  /// Applies \a Changes and sets the current version to \a Version. Fails with
  /// Stale unless \a Version is above the current one. A value equal to the
  /// stored one keeps its version, unless that is of another epoch.
  Result<void> apply(const std::vector<ResourceChange> &Changes,
                     TableVersion Version);
  /// Starts a new epoch at \a Version with an incomplete table. Resources of
  /// earlier epochs are kept until \a markComplete.
  void beginEpoch(TableVersion Version);
  /// Marks the table complete at \a Version and drops the resources of earlier
  /// epochs, because they were not announced again in this epoch.
  void markComplete(TableVersion Version);

  /// Reads the first chunk for a receiver at version \a Since: of a delta or of
  /// a snapshot, whichever is smaller; always of a snapshot below the floor and
  /// across epochs. A chunk holds at least one change even above \a MaxBytes.
  TableChunk read(TableVersion Since, std::size_t MaxBytes) const;
  /// False when this table is older than the sender of the earlier chunks or no
  /// longer has the tombstones to continue; the transfer then starts again.
  bool canContinue(const TableCursor &From) const;
  /// Reads the chunk that follows the position \a From.
  TableChunk read(const TableCursor &From, std::size_t MaxBytes) const;

  /// Installs a complete received transfer in one step. Fails with Stale when
  /// \a Version is below the current one.
  Result<void> install(bool Snapshot, bool CompleteTable,
                       std::vector<VersionedChange> Changes,
                       TableVersion Version);

private:
  struct Entry {
    TableVersion Version;
    std::size_t Bytes = 0;
  };
  using Position = std::pair<TableVersion, std::string>;

  explicit ResourceTable(TableLimits Limits) : Limits(Limits) {}
  void put(const std::string &Key, Json Value, TableVersion Version);
  void remove(const std::string &Key, TableVersion Version);
  void erase(const std::string &Key);
  void eraseTombstone(const std::string &Key);
  void trimTombstones();
  void dropBefore(std::uint64_t Epoch);
  void fill(TableChunk &Chunk, TableCursor At, std::size_t MaxBytes) const;

  TableLimits Limits;
  TableVersion Current;
  TableVersion Floor;
  bool Complete = true;
  ResourceMap Resources;
  std::map<std::string, Entry> Entries;
  std::set<Position> ByVersion;
  std::map<std::string, TableVersion> Tombstones;
  std::set<Position> TombstonesByVersion;
  std::size_t TotalBytes = 0;
};

} // namespace amaranthward

#endif
