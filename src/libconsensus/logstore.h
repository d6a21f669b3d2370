#ifndef AMARANTHWARD_LIBCONSENSUS_LOGSTORE_H
#define AMARANTHWARD_LIBCONSENSUS_LOGSTORE_H

#include "libconsensus/folder.h"
#include "libconsensus/logrecord.h"
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthward {

/// The log after its discarded start, in memory and in segment files. Appended
/// entries are pending until \a flush.
class LogStore {
public:
  struct Options {
    std::size_t SegmentBytes = 1U << 20;
    std::uint64_t QuotaBytes = 0; ///< 0 for no limit.
  };

  /// Reads all segments. An incomplete last batch is cut with a warning.
  /// Damage elsewhere fails with Corrupt, naming file and offset.
  static Result<LogStore> create(std::shared_ptr<Folder> Files, Options Limits);

  /// Index of the first entry held; lastIndex() + 1 when there is none.
  LogIndex firstIndex() const { return this->First; }
  LogIndex lastIndex() const {
    return LogIndex(this->First.value() + this->Entries.size() - 1);
  }
  /// Entries up to this index are durable.
  LogIndex syncedIndex() const { return this->Synced; }
  /// Null when the log does not hold the entry.
  const LogEntry *at(LogIndex Index) const;
  std::uint64_t segmentBytes() const;

  /// The entry's index must be lastIndex() + 1.
  void append(LogEntry Entry);
  /// Makes all pending entries durable with one sync. Exhausted: nothing of
  /// the batch was kept on disk and all entries are still pending. Any other
  /// error: the state of the disk is unknown.
  Result<void> flush();
  void dropPending();
  /// Removes this entry and all later ones, durably.
  Result<void> truncateFrom(LogIndex Index);
  /// Removes segments that hold only entries up to \a Index.
  Result<void> discardThrough(LogIndex Index);
  /// Removes everything; the next entry has index \a Next.
  Result<void> reset(LogIndex Next);

private:
  struct Segment {
    std::string Name;
    LogIndex First;
    std::uint64_t Size = 0;
    /// File offset of each record.
    std::vector<std::uint64_t> Offsets;
  };

  LogStore(std::shared_ptr<Folder> Files, Options Limits)
      : Files(std::move(Files)), Limits(Limits) {}
  Result<void> load(const std::string &Name, bool IsLast);
  Result<void> accept(const Segment &Into, LogRecord &Record);
  Result<void> cutTail(Segment &Torn, const std::string &Data,
                       std::size_t Offset, bool IsLast);
  Result<void> startSegment();
  Result<void> undoWrite(Segment &Into, Error Cause);
  Result<void> removeSegments(std::size_t Begin, std::size_t End);

  std::shared_ptr<Folder> Files;
  Options Limits;
  std::vector<Segment> Segments;
  std::deque<LogEntry> Entries;
  LogIndex First = LogIndex(1);
  LogIndex Synced;
};

} // namespace amaranthward

#endif
