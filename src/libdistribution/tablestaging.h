#ifndef AMARANTHWARD_LIBDISTRIBUTION_TABLESTAGING_H
#define AMARANTHWARD_LIBDISTRIBUTION_TABLESTAGING_H

#include "libdistribution/resourcetable.h"

namespace amaranthward {

/// Collects the chunks of a transfer apart from the table in force, so that the
/// transfer can be checked and installed as a whole.
class TableStaging {
public:
  /// Adds the next chunk. Returns true when the transfer is complete. A chunk
  /// that does not continue the transfer is ignored.
  bool add(const TableChunk &Chunk);
  /// Position for the next request; absent between transfers.
  const std::optional<TableCursor> &cursor() const { return this->Cursor; }
  /// Version of the table after the transfer.
  TableVersion target() const { return this->Target; }
  /// Returns how the resources of \a Table would change by \a installInto. The
  /// result refers to the table and to this object.
  std::vector<ResourceUpdate> changesTo(const ResourceTable &Table) const;
  /// Moves the changes into \a Table; only \a clear and \a target may follow.
  Result<void> installInto(ResourceTable &Table);
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
