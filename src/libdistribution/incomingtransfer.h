#ifndef AMARANTHWARD_LIBDISTRIBUTION_INCOMINGTRANSFER_H
#define AMARANTHWARD_LIBDISTRIBUTION_INCOMINGTRANSFER_H

#include "libcore/ids.h"
#include "libdistribution/chunkcache.h"

namespace amaranthward {

/// Chunks of the replicated state that a relay has received and not yet put in
/// force, as its parent encoded them. A relay hands them on to children that
/// need the same transfer, so that a large change does not wait at each level
/// of the tree until the level above has all of it.
class IncomingTransfer {
public:
  /// Adds a received chunk. \a Since is the version that the relay has in
  /// force, \a Cursor the position that the chunk continues; the first chunk,
  /// without a cursor, starts a new transfer. A chunk of another cluster or
  /// version than the first one's is ignored.
  void add(const ClusterId &From, TableVersion Since,
           const std::optional<TableCursor> &Cursor, SharedChunk Chunk);
  /// Returns the chunk that follows \a Cursor for a receiver at version
  /// \a Since; null when it has not arrived.
  SharedChunk find(TableVersion Since,
                   const std::optional<TableCursor> &Cursor) const;
  /// The cluster whose state is transferred.
  const ClusterId &cluster() const { return this->Cluster; }
  void clear() { *this = IncomingTransfer(); }

private:
  struct Entry {
    std::optional<TableCursor> Cursor;
    SharedChunk Chunk;
  };

  ClusterId Cluster;
  TableVersion Since;
  std::vector<Entry> Entries;
};

} // namespace amaranthward

#endif
