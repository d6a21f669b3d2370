#ifndef AMARANTHWARD_LIBCONSENSUS_LOGRECORD_H
#define AMARANTHWARD_LIBCONSENSUS_LOGRECORD_H

#include "libcore/ids.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthward {

enum class EntryType : std::uint8_t { Noop = 1, Payload = 2, VoterSet = 3 };

/// One entry of the replicated log.
struct LogEntry {
  LogIndex Index;
  Term At;
  EntryType Type = EntryType::Noop;
  std::string Payload;
};

/// A LogEntry as it lies in a segment file.
struct LogRecord {
  LogEntry Entry;
  /// File offset of the first record of the batch that was synced together.
  std::uint64_t BatchStart = 0;
  std::size_t EncodedSize = 0;
};

/// Little-endian: mark (4), payload length (4), CRC-32 of all that follows
/// (4), term (8), index (8), batch start (8), type (1), payload.
std::string encodeRecord(const LogEntry &Entry, std::uint64_t BatchStart);

/// The record at \a Offset, or nothing when it is incomplete or damaged.
std::optional<LogRecord> decodeRecord(std::string_view File,
                                      std::size_t Offset);

/// Offset of the first intact record at or after \a Offset whose batch began
/// after \a Offset. A later batch is written only after the sync of the
/// earlier one, so such a record proves that \a Offset was synced.
std::optional<std::size_t> findLaterBatch(std::string_view File,
                                          std::size_t Offset);

} // namespace amaranthward

#endif
