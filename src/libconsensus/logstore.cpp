#include "libconsensus/logstore.h"

#include "libcore/log.h"
#include <algorithm>
#include <fmt/format.h>

namespace amaranthward {

namespace {

constexpr std::string_view Prefix = "log-";

/// Names sort in the order of their first index.
std::string fileNameFor(LogIndex First) {
  return fmt::format("{}{:020}", Prefix, First.value());
}

} // namespace

Result<LogStore> LogStore::create(std::shared_ptr<Folder> Files,
                                  Options Limits) {
  LogStore Store(Files, Limits);
  auto Names = Files->list();
  if (!Names)
    return tl::make_unexpected(Names.error());
  std::erase_if(*Names, [](const std::string &Name) {
    return !Name.starts_with(Prefix);
  });
  std::sort(Names->begin(), Names->end());
  for (const std::string &Name : *Names)
    if (auto Loaded = Store.load(Name, Name == Names->back()); !Loaded)
      return tl::make_unexpected(Loaded.error());
  // An earlier process may have written the tail without syncing it.
  if (!Store.Segments.empty())
    if (auto Synced = Files->sync(Store.Segments.back().Name); !Synced)
      return tl::make_unexpected(Synced.error());
  Store.Synced = Store.lastIndex();
  return Store;
}

Result<void> LogStore::load(const std::string &Name, bool IsLast) {
  auto Data = this->Files->read(Name);
  if (!Data)
    return tl::make_unexpected(Data.error());
  Segment Loaded;
  Loaded.Name = Name;
  Loaded.First =
      LogIndex(std::strtoull(Name.c_str() + Prefix.size(), nullptr, 10));
  if (this->Segments.empty())
    this->First = Loaded.First;
  else if (Loaded.First != this->lastIndex().next())
    return fail(ErrorCode::Corrupt,
                fmt::format("{}/{}: starts at entry {}, but the segment "
                            "before it ends at entry {}",
                            this->Files->path(), Name, Loaded.First.value(),
                            this->lastIndex().value()));
  std::size_t Offset = 0;
  while (Offset < Data->size()) {
    auto Record = decodeRecord(*Data, Offset);
    if (!Record) {
      if (auto Cut = this->cutTail(Loaded, *Data, Offset, IsLast); !Cut)
        return Cut;
      break;
    }
    if (auto Accepted = this->accept(Loaded, *Record); !Accepted)
      return Accepted;
    Loaded.Offsets.push_back(Offset);
    Offset += Record->EncodedSize;
  }
  Loaded.Size = Offset;
  this->Segments.push_back(std::move(Loaded));
  return {};
}

Result<void> LogStore::accept(const Segment &Into, LogRecord &Record) {
  LogIndex Expected = this->lastIndex().next();
  if (Record.Entry.Index != Expected)
    return fail(ErrorCode::Corrupt,
                fmt::format("{}/{}: entry {} found where entry {} belongs",
                            this->Files->path(), Into.Name,
                            Record.Entry.Index.value(), Expected.value()));
  this->Entries.push_back(std::move(Record.Entry));
  return {};
}

Result<void> LogStore::cutTail(Segment &Torn, const std::string &Data,
                               std::size_t Offset, bool IsLast) {
  auto Later = findLaterBatch(Data, Offset);
  if (!IsLast || Later)
    return fail(
        ErrorCode::Corrupt,
        fmt::format("{}/{}: damaged record at offset {}; restore the file, or "
                    "empty the folder to rejoin as a new replica",
                    this->Files->path(), Torn.Name, Offset));
  logFor("consensus")
      ->warn("{}/{}: cut {} bytes of an incomplete write at offset {}",
             this->Files->path(), Torn.Name, Data.size() - Offset, Offset);
  if (auto Cut = this->Files->truncate(Torn.Name, Offset); !Cut)
    return Cut;
  return this->Files->sync(Torn.Name);
}

const LogEntry *LogStore::at(LogIndex Index) const {
  if (Index < this->First || Index > this->lastIndex())
    return nullptr;
  return &this->Entries[Index.value() - this->First.value()];
}

std::uint64_t LogStore::segmentBytes() const {
  std::uint64_t Total = 0;
  for (const Segment &One : this->Segments)
    Total += One.Size;
  return Total;
}

void LogStore::append(LogEntry Entry) {
  this->Entries.push_back(std::move(Entry));
}

Result<void> LogStore::startSegment() {
  Segment Started;
  Started.First = this->Synced.next();
  Started.Name = fileNameFor(Started.First);
  if (auto Created = this->Files->append(Started.Name, ""); !Created)
    return Created;
  if (auto Synced = this->Files->syncFolder(); !Synced)
    return Synced;
  this->Segments.push_back(std::move(Started));
  return {};
}

Result<void> LogStore::flush() {
  if (this->Synced == this->lastIndex())
    return {};
  if (this->Segments.empty() ||
      this->Segments.back().Size >= this->Limits.SegmentBytes)
    if (auto Started = this->startSegment(); !Started)
      return Started;
  Segment &Into = this->Segments.back();
  std::string Batch;
  std::vector<std::uint64_t> Offsets;
  for (LogIndex Index = this->Synced.next(); Index <= this->lastIndex();
       Index = Index.next()) {
    Offsets.push_back(Into.Size + Batch.size());
    Batch += encodeRecord(*this->at(Index), Into.Size);
  }
  if (this->Limits.QuotaBytes != 0 &&
      this->segmentBytes() + Batch.size() > this->Limits.QuotaBytes)
    return fail(ErrorCode::Exhausted,
                fmt::format("log quota of {} bytes is used up",
                            this->Limits.QuotaBytes));
  if (auto Written = this->Files->append(Into.Name, Batch); !Written)
    return this->undoWrite(Into, Written.error());
  if (auto Synced = this->Files->sync(Into.Name); !Synced)
    return fail(ErrorCode::Io, Synced.error().Message);
  Into.Size += Batch.size();
  Into.Offsets.insert(Into.Offsets.end(), Offsets.begin(), Offsets.end());
  this->Synced = this->lastIndex();
  return {};
}

Result<void> LogStore::undoWrite(Segment &Into, Error Cause) {
  if (Cause.Code != ErrorCode::Exhausted)
    return tl::make_unexpected(Cause);
  if (auto Cut = this->Files->truncate(Into.Name, Into.Size); !Cut)
    return fail(ErrorCode::Io, Cut.error().Message);
  // Refused records must not reappear after a crash.
  if (auto Synced = this->Files->sync(Into.Name); !Synced)
    return fail(ErrorCode::Io, Synced.error().Message);
  return tl::make_unexpected(Cause);
}

void LogStore::dropPending() {
  while (this->lastIndex() > this->Synced)
    this->Entries.pop_back();
}

Result<void> LogStore::removeSegments(std::size_t Begin, std::size_t End) {
  if (Begin == End)
    return {};
  for (std::size_t Place = Begin; Place < End; ++Place)
    if (auto Removed = this->Files->remove(this->Segments[Place].Name);
        !Removed)
      return Removed;
  this->Segments.erase(
      this->Segments.begin() + static_cast<std::ptrdiff_t>(Begin),
      this->Segments.begin() + static_cast<std::ptrdiff_t>(End));
  return this->Files->syncFolder();
}

Result<void> LogStore::truncateFrom(LogIndex Index) {
  while (this->lastIndex() >= Index && this->lastIndex() > this->Synced)
    this->Entries.pop_back();
  if (this->lastIndex() < Index)
    return {};
  // Later segments go first: one that reappears after a crash would not fit
  // the entries written in place of the removed ones. They are removed one by
  // one from the end, so that a crash leaves no gap.
  while (this->Segments.back().First > Index)
    if (auto Removed = this->removeSegments(this->Segments.size() - 1,
                                            this->Segments.size());
        !Removed)
      return Removed;
  Segment &Last = this->Segments.back();
  std::size_t Keep = Index.value() - Last.First.value();
  Last.Size = Last.Offsets[Keep];
  Last.Offsets.resize(Keep);
  if (auto Cut = this->Files->truncate(Last.Name, Last.Size); !Cut)
    return Cut;
  if (auto Synced = this->Files->sync(Last.Name); !Synced)
    return Synced;
  this->Entries.resize(Index.value() - this->First.value());
  this->Synced = this->lastIndex();
  return {};
}

Result<void> LogStore::discardThrough(LogIndex Index) {
  // Each segment is removed and synced by itself, so that a crash leaves no
  // gap between the remaining ones.
  while (this->Segments.size() > 1 && this->Segments[1].First <= Index.next()) {
    LogIndex NewFirst = this->Segments[1].First;
    if (auto Removed = this->removeSegments(0, 1); !Removed)
      return Removed;
    while (this->First < NewFirst) {
      this->Entries.pop_front();
      this->First = this->First.next();
    }
  }
  return {};
}

Result<void> LogStore::reset(LogIndex Next) {
  while (!this->Segments.empty())
    if (auto Removed = this->removeSegments(this->Segments.size() - 1,
                                            this->Segments.size());
        !Removed)
      return Removed;
  this->Entries.clear();
  this->First = Next;
  this->Synced = LogIndex(Next.value() - 1);
  return {};
}

} // namespace amaranthward
