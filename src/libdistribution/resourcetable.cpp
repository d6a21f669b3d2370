#include "libdistribution/resourcetable.h"

#include <algorithm>

namespace amaranthward {

namespace {

std::string describe(TableVersion Version) {
  return std::to_string(Version.Epoch) + "." + std::to_string(Version.Sequence);
}

} // namespace

Result<ResourceTable> ResourceTable::create(TableLimits Limits) {
  if (Limits.MaxTombstones == 0)
    return fail(ErrorCode::InvalidArgument,
                "the tombstone limit of a resource table must be above 0");
  return ResourceTable(Limits);
}

const Json *ResourceTable::find(const std::string &Key) const {
  auto Found = this->Resources.find(Key);
  return Found == this->Resources.end() ? nullptr : &Found->second;
}

std::optional<TableVersion>
ResourceTable::versionOf(const std::string &Key) const {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return std::nullopt;
  return Found->second.Version;
}

std::size_t ResourceTable::deltaBytes(TableVersion Since) const {
  const Position After(TableVersion{Since.Epoch, Since.Sequence + 1}, "");
  std::size_t Bytes = 0;
  for (auto It = this->ByVersion.lower_bound(After);
       It != this->ByVersion.end(); ++It)
    Bytes += this->Entries.at(It->second).Bytes;
  for (auto It = this->TombstonesByVersion.lower_bound(After);
       It != this->TombstonesByVersion.end(); ++It)
    Bytes += encodedBytes(It->second, nullptr);
  return Bytes;
}

std::optional<std::vector<std::string>>
ResourceTable::keysChangedSince(TableVersion Since) const {
  if (Since.Epoch != this->Current.Epoch || Since < this->Floor)
    return std::nullopt;
  const Position After(TableVersion{Since.Epoch, Since.Sequence + 1}, "");
  std::vector<std::string> Keys;
  for (const auto *Index : {&this->ByVersion, &this->TombstonesByVersion})
    for (auto It = Index->lower_bound(After); It != Index->end(); ++It)
      Keys.push_back(It->second);
  return Keys;
}

Result<void> ResourceTable::apply(const std::vector<ResourceChange> &Changes,
                                  TableVersion Version) {
  if (Version <= this->Current)
    return fail(ErrorCode::Stale, "table version " + describe(Version) +
                                      " is not above " +
                                      describe(this->Current));
  for (const ResourceChange &Change : Changes) {
    const Json *Existing = this->find(Change.Key);
    if (!Change.Value) {
      if (Existing)
        this->remove(Change.Key, Version);
    } else if (!Existing || *Existing != *Change.Value ||
               this->Entries.at(Change.Key).Version.Epoch != Version.Epoch) {
      this->put(Change.Key, *Change.Value, Version);
    }
  }
  this->Current = Version;
  this->trimTombstones();
  return {};
}

void ResourceTable::beginEpoch(TableVersion Version) {
  this->Tombstones.clear();
  this->TombstonesByVersion.clear();
  this->Current = Version;
  this->Floor = Version;
  this->Complete = false;
}

void ResourceTable::markComplete(TableVersion Version) {
  this->Current = std::max(this->Current, Version);
  this->Complete = true;
  this->dropBefore(this->Current.Epoch);
}

bool ResourceTable::canContinue(const TableCursor &From) const {
  if (From.SenderVersion > this->Current ||
      From.SenderVersion.Epoch != this->Current.Epoch)
    return false;
  return this->Floor < From.Version || this->Floor <= From.Start;
}

TableChunk ResourceTable::read(TableVersion Since, std::size_t MaxBytes) const {
  TableChunk Chunk;
  Chunk.Snapshot = Since.Epoch != this->Current.Epoch || Since < this->Floor ||
                   this->deltaBytes(Since) >= this->TotalBytes;
  // An empty delta (only the version changed) is always preferred, also when
  // the table is empty and both sizes are 0.
  if (Chunk.Snapshot && Since >= this->Floor &&
      Since.Epoch == this->Current.Epoch && this->deltaBytes(Since) == 0)
    Chunk.Snapshot = false;
  TableCursor At;
  At.Snapshot = Chunk.Snapshot;
  At.Start = Chunk.Snapshot ? this->Current : Since;
  if (!Chunk.Snapshot)
    At.Version = {Since.Epoch, Since.Sequence + 1};
  this->fill(Chunk, At, MaxBytes);
  return Chunk;
}

TableChunk ResourceTable::read(const TableCursor &From,
                               std::size_t MaxBytes) const {
  TableChunk Chunk;
  Chunk.Snapshot = From.Snapshot;
  Chunk.First = false;
  TableCursor At = From;
  // The smallest position after the last one sent.
  At.Key.push_back('\0');
  this->fill(Chunk, At, MaxBytes);
  return Chunk;
}

void ResourceTable::fill(TableChunk &Chunk, TableCursor At,
                         std::size_t MaxBytes) const {
  Chunk.Complete = this->Complete;
  Chunk.Current = this->Current;
  const Position From(At.Version, At.Key);
  // Skip removals up to the start of a snapshot: the snapshot never contained
  // those keys.
  const Position AfterStart(TableVersion{At.Start.Epoch, At.Start.Sequence + 1},
                            "");
  auto Put = this->ByVersion.lower_bound(From);
  auto Removed =
      this->TombstonesByVersion.lower_bound(std::max(From, AfterStart));
  const Position *Last = nullptr;
  while (Put != this->ByVersion.end() ||
         Removed != this->TombstonesByVersion.end()) {
    const bool TakePut = Removed == this->TombstonesByVersion.end() ||
                         (Put != this->ByVersion.end() && *Put < *Removed);
    const Position &Next = TakePut ? *Put : *Removed;
    const std::size_t Size = TakePut ? this->Entries.at(Next.second).Bytes
                                     : encodedBytes(Next.second, nullptr);
    if (Last && Chunk.Bytes + Size > MaxBytes) {
      At.Version = Last->first;
      At.Key = Last->second;
      At.SenderVersion = this->Current;
      Chunk.Next = At;
      return;
    }
    VersionedChange Change{Next.first, Next.second, std::nullopt};
    if (TakePut)
      Change.Value = this->Resources.at(Next.second);
    Chunk.Changes.push_back(std::move(Change));
    Chunk.Bytes += Size;
    Last = &Next;
    TakePut ? ++Put : ++Removed;
  }
}

Result<void> ResourceTable::install(bool Snapshot, bool CompleteTable,
                                    std::vector<VersionedChange> Changes,
                                    TableVersion Version) {
  if (Version < this->Current)
    return fail(ErrorCode::Stale, "received table version " +
                                      describe(Version) + " is below " +
                                      describe(this->Current));
  if (Snapshot) {
    // An incomplete snapshot does not remove resources of earlier epochs.
    std::vector<std::string> Dropped;
    for (const auto &[Key, Existing] : this->Entries)
      if (CompleteTable || Existing.Version.Epoch == Version.Epoch)
        Dropped.push_back(Key);
    for (const std::string &Key : Dropped)
      this->erase(Key);
    this->Tombstones.clear();
    this->TombstonesByVersion.clear();
    this->Floor = Version;
  }
  for (VersionedChange &Change : Changes) {
    if (Change.Value)
      this->put(Change.Key, std::move(*Change.Value), Change.Version);
    else
      this->remove(Change.Key, Change.Version);
  }
  this->Current = Version;
  this->Complete = CompleteTable;
  if (CompleteTable)
    this->dropBefore(Version.Epoch);
  this->trimTombstones();
  return {};
}

void ResourceTable::put(const std::string &Key, Json Value,
                        TableVersion Version) {
  this->erase(Key);
  this->eraseTombstone(Key);
  const std::size_t Bytes = encodedBytes(Key, &Value);
  this->Resources[Key] = std::move(Value);
  this->Entries[Key] = {Version, Bytes};
  this->ByVersion.emplace(Version, Key);
  this->TotalBytes += Bytes;
}

void ResourceTable::remove(const std::string &Key, TableVersion Version) {
  this->erase(Key);
  this->eraseTombstone(Key);
  this->Tombstones[Key] = Version;
  this->TombstonesByVersion.emplace(Version, Key);
}

void ResourceTable::erase(const std::string &Key) {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  this->TotalBytes -= Found->second.Bytes;
  this->ByVersion.erase(Position(Found->second.Version, Key));
  this->Resources.erase(Key);
  this->Entries.erase(Found);
}

void ResourceTable::eraseTombstone(const std::string &Key) {
  auto Found = this->Tombstones.find(Key);
  if (Found == this->Tombstones.end())
    return;
  this->TombstonesByVersion.erase(Position(Found->second, Key));
  this->Tombstones.erase(Found);
}

void ResourceTable::trimTombstones() {
  while (this->Tombstones.size() > this->Limits.MaxTombstones) {
    auto Oldest = this->TombstonesByVersion.begin();
    this->Floor = std::max(this->Floor, Oldest->first);
    this->Tombstones.erase(Oldest->second);
    this->TombstonesByVersion.erase(Oldest);
  }
}

void ResourceTable::dropBefore(std::uint64_t Epoch) {
  std::vector<std::string> Dropped;
  for (auto It = this->ByVersion.begin();
       It != this->ByVersion.end() && It->first.Epoch < Epoch; ++It)
    Dropped.push_back(It->second);
  for (const std::string &Key : Dropped)
    this->erase(Key);
}

} // namespace amaranthward
