#ifndef AMARANTHWARD_LIBDISTRIBUTION_CHUNKCACHE_H
#define AMARANTHWARD_LIBDISTRIBUTION_CHUNKCACHE_H

#include "libdistribution/resourcetable.h"
#include <memory>

namespace amaranthward {

/// A chunk as it is sent to children that accept compressed chunks.
struct EncodedChunk {
  /// Compressed JSON of the TableChunk.
  std::string Data;
  /// TableChunk::Bytes: approximate size before compression.
  std::size_t PlainBytes = 0;
  /// More chunks of the transfer follow.
  bool HasNext = false;
};

using SharedChunk = std::shared_ptr<const EncodedChunk>;

/// Encodes chunks of one table. After a change most children need the same
/// chunks, so the encodings of the table's current version are kept.
class ChunkCache {
public:
  /// Returns the chunk that follows \a Cursor if \a Table can continue from it,
  /// else the first chunk for a receiver at version \a Since.
  SharedChunk read(const ResourceTable &Table, TableVersion Since,
                   const std::optional<TableCursor> &Cursor,
                   std::size_t MaxBytes);

  /// Number of chunks encoded since the start.
  std::uint64_t encoded() const { return this->Encoded; }

private:
  struct Entry {
    TableVersion Since;
    std::optional<TableCursor> Cursor;
    std::size_t MaxBytes = 0;
    SharedChunk Chunk;
  };

  /// Bound on the chunks kept; above it all are dropped.
  static constexpr std::size_t MaxEntries = 32;

  TableVersion Version;
  bool Complete = true;
  std::vector<Entry> Entries;
  std::uint64_t Encoded = 0;
};

/// The chunk that follows \a Cursor if \a Table can continue from it, else the
/// first chunk for a receiver at version \a Since.
TableChunk readChunk(const ResourceTable &Table, TableVersion Since,
                     const std::optional<TableCursor> &Cursor,
                     std::size_t MaxBytes);

} // namespace amaranthward

#endif
