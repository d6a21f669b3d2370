#ifndef AMARANTHWARD_LIBDISTRIBUTION_TABLECHUNK_H
#define AMARANTHWARD_LIBDISTRIBUTION_TABLECHUNK_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

/// Position in the history of a table. Replicated state uses epoch 0 and the
/// revision as sequence; members use the leader's term and a counter.
struct TableVersion {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;

  static constexpr TableVersion of(Revision Number) {
    return {0, Number.value()};
  }
  constexpr Revision revision() const { return Revision(this->Sequence); }

  friend constexpr auto operator<=>(const TableVersion &,
                                    const TableVersion &) = default;
};

/// A new value for a key, or its removal when the value is absent.
struct ResourceChange {
  std::string Key;
  std::optional<Json> Value;
};

/// A change together with the version that made it.
struct VersionedChange {
  TableVersion Version;
  std::string Key;
  std::optional<Json> Value;
};

/// Position in a transfer of several chunks: the last change sent. Transfers
/// run in the order of (version, key), so that between two chunks the table may
/// change and another sender may take over.
struct TableCursor {
  TableVersion Version;
  std::string Key;
  /// Version of the receiver (delta), or of the sender at the first chunk
  /// (snapshot).
  TableVersion Start;
  /// Version of the sender at the latest chunk. A sender with a lower version
  /// cannot continue, because keys that changed in between would be lost.
  TableVersion SenderVersion;
  bool Snapshot = false;

  friend bool operator==(const TableCursor &, const TableCursor &) = default;
};

/// A size-limited part of a delta or of a snapshot.
struct TableChunk {
  /// The transfer replaces the receiver's table instead of updating it.
  bool Snapshot = false;
  /// First chunk of its transfer: the receiver discards staged chunks.
  bool First = true;
  /// False while members may be missing because the leader is new.
  bool Complete = true;
  std::vector<VersionedChange> Changes;
  /// Position for the next chunk; absent in the last chunk.
  std::optional<TableCursor> Next;
  /// Version of the sender's table.
  TableVersion Current;
  /// Approximate encoded size; not sent.
  std::size_t Bytes = 0;
};

Json toJson(const TableVersion &Version);
Result<TableVersion> tableVersionFromJson(const Json &Value);
Json toJson(const TableCursor &Cursor);
Result<TableCursor> tableCursorFromJson(const Json &Value);
Json toJson(const TableChunk &Chunk);
Result<TableChunk> tableChunkFromJson(const Json &Value);

/// Approximate size of a change in an encoded chunk; a null value is a removal.
std::size_t encodedBytes(const std::string &Key, const Json *Value);

} // namespace amaranthward

#endif
