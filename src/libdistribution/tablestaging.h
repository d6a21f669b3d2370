#ifndef AMARANTHWARD_LIBDISTRIBUTION_TABLESTAGING_H
#define AMARANTHWARD_LIBDISTRIBUTION_TABLESTAGING_H

#include "libdistribution/resourcetable.h"

namespace amaranthward {

/// Chunks received for one table, kept apart from the table in force.
class TableStaging {
public:
  /// Takes the next chunk. Returns true when the transfer is whole. A chunk
  /// that does not continue the transfer is ignored.
  bool add(const TableChunk &Chunk);
  /// Where the next request continues; absent between transfers.
  const std::optional<TableCursor> &cursor() const { return this->Cursor; }
  TableVersion target() const { return this->Target; }
  /// The resources that \a Table would have after \a installInto.
  ResourceMap preview(const ResourceTable &Table) const;
  Result<void> installInto(ResourceTable &Table) const;
  void clear();

private:
  bool Snapshot = false;
  bool Complete = true;
  std::vector<VersionedChange> Changes;
  std::optional<TableCursor> Cursor;
  TableVersion Target;
};

} // namespace amaranthward

#endif
