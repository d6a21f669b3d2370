#ifndef AMARANTHWARD_LIBDISTRIBUTION_RESOURCETABLE_H
#define AMARANTHWARD_LIBDISTRIBUTION_RESOURCETABLE_H

#include "libcore/resource.h"
#include "libdistribution/tablechunk.h"
#include <map>
#include <set>
#include <utility>

namespace amaranthward {

struct TableLimits {
  /// Removed keys that are remembered; the oldest raise the floor.
  std::size_t MaxTombstones = 2048;
};

/// Resources with the version of their last change, and removed keys down to
/// a minimum version, the floor.
class ResourceTable {
public:
  static Result<ResourceTable> create(TableLimits Limits = {});

  TableVersion current() const { return this->Current; }
  TableVersion floor() const { return this->Floor; }
  /// False while a new leader does not yet know all members.
  bool complete() const { return this->Complete; }
  const ResourceMap &resources() const { return this->Resources; }
  /// Null when the key is absent.
  const Json *find(const std::string &Key) const;
  std::optional<TableVersion> versionOf(const std::string &Key) const;
  std::size_t snapshotBytes() const { return this->TotalBytes; }
  /// Bytes of the changes and removals after \a Since.
  std::size_t deltaBytes(TableVersion Since) const;

  /// Keys changed or removed after \a Since; absent when removals since then
  /// may have been forgotten.
  std::optional<std::vector<std::string>>
  keysChangedSince(TableVersion Since) const;

  /// Makes \a Changes at \a Version. Fails with Stale unless \a Version is
  /// above the current one. A value equal to the present one is no change,
  /// unless the present one is of an earlier epoch.
  Result<void> apply(const std::vector<ResourceChange> &Changes,
                     TableVersion Version);
  /// Starts an incomplete table at \a Version, which has a new epoch; the
  /// resources of earlier epochs stay.
  void beginEpoch(TableVersion Version);
  /// Marks the table complete at \a Version and drops the resources of
  /// earlier epochs, because nobody has announced them in this epoch.
  void markComplete(TableVersion Version);

  /// The first chunk for a receiver that has \a Since: the delta or the
  /// snapshot, whichever is smaller; always the snapshot below the floor and
  /// across epochs. At least one change is sent whatever its size.
  TableChunk read(TableVersion Since, std::size_t MaxBytes) const;
  /// False when this table is behind the sender of the earlier chunks or has
  /// forgotten removals since; the transfer then starts again.
  bool canContinue(const TableCursor &From) const;
  /// The chunk after \a From.
  TableChunk read(const TableCursor &From, std::size_t MaxBytes) const;

  /// Installs a received transfer in one step. Fails with Stale when
  /// \a Version is below the current one.
  Result<void> install(bool Snapshot, bool CompleteTable,
                       const std::vector<VersionedChange> &Changes,
                       TableVersion Version);

private:
  struct Entry {
    TableVersion Version;
    std::size_t Bytes = 0;
  };
  using Position = std::pair<TableVersion, std::string>;

  explicit ResourceTable(TableLimits Limits) : Limits(Limits) {}
  void put(const std::string &Key, const Json &Value, TableVersion Version);
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
