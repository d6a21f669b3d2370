#include "libdistribution/tablestaging.h"

namespace amaranthward {

bool TableStaging::add(const TableChunk &Chunk) {
  if (Chunk.First) {
    this->clear();
    this->Snapshot = Chunk.Snapshot;
  } else if (!this->Cursor || Chunk.Snapshot != this->Snapshot ||
             Chunk.Current < this->Target) {
    return false;
  }
  this->Changes.insert(this->Changes.end(), Chunk.Changes.begin(),
                       Chunk.Changes.end());
  this->Complete = Chunk.Complete;
  this->Target = Chunk.Current;
  this->Cursor = Chunk.Next;
  return !this->Cursor;
}

std::vector<ResourceUpdate>
TableStaging::changesTo(const ResourceTable &Table) const {
  // A key that changed during the transfer occurs more than once.
  std::map<std::string_view, const Json *> Newest;
  for (const VersionedChange &Change : this->Changes)
    Newest[Change.Key] = Change.Value ? &*Change.Value : nullptr;
  std::vector<ResourceUpdate> Updates;
  for (const auto &[Key, Value] : Newest) {
    const Json *Existing = Table.find(std::string(Key));
    if (Value ? !Existing || *Existing != *Value : Existing != nullptr)
      Updates.push_back({Key, Value});
  }
  if (this->Snapshot)
    for (const auto &[Key, Value] : Table.resources())
      if (!Newest.contains(Key))
        Updates.push_back({Key, nullptr});
  return Updates;
}

Result<void> TableStaging::installInto(ResourceTable &Table) {
  return Table.install(this->Snapshot, this->Complete,
                       std::exchange(this->Changes, {}), this->Target);
}

void TableStaging::clear() { *this = TableStaging(); }

} // namespace amaranthward
