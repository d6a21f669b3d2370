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

/// Where a transfer of several chunks continues. Transfers run in the order
/// of (version, key), so that a table may change and the sender may be
/// replaced between two chunks.
struct TableCursor {
  TableVersion Version;
  std::string Key;
  /// Version that the receiver had (delta) or that the sender had at the
  /// first chunk (snapshot).
  TableVersion Start;
  /// Version that the sender had at the latest chunk. A sender below it
  /// cannot continue, because keys that changed in between would be lost.
  TableVersion SenderVersion;
  bool Snapshot = false;

  friend bool operator==(const TableCursor &, const TableCursor &) = default;
};

/// One bounded part of a delta or of a snapshot.
struct TableChunk {
  /// The transfer replaces the receiver's table.
  bool Snapshot = false;
  /// First chunk of its transfer: the receiver drops what it has staged.
  bool First = true;
  /// False while a new leader does not yet know all members.
  bool Complete = true;
  std::vector<VersionedChange> Changes;
  /// Where the next chunk continues; absent in the last chunk.
  std::optional<TableCursor> Next;
  /// Version of the sender's table.
  TableVersion Current;
  /// Encoded size within a few bytes; not sent.
  std::size_t Bytes = 0;
};

Json toJson(const TableVersion &Version);
Result<TableVersion> tableVersionFromJson(const Json &Value);
Json toJson(const TableCursor &Cursor);
Result<TableCursor> tableCursorFromJson(const Json &Value);
Json toJson(const TableChunk &Chunk);
Result<TableChunk> tableChunkFromJson(const Json &Value);

/// Bytes that a change takes in an encoded chunk, within a few bytes.
std::size_t encodedBytes(const std::string &Key, const Json *Value);

} // namespace amaranthward

#endif
