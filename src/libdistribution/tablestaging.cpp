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

ResourceMap TableStaging::preview(const ResourceTable &Table) const {
  ResourceMap Result;
  if (!this->Snapshot)
    Result = Table.resources();
  for (const VersionedChange &Change : this->Changes) {
    if (Change.Value)
      Result[Change.Key] = *Change.Value;
    else
      Result.erase(Change.Key);
  }
  return Result;
}

Result<void> TableStaging::installInto(ResourceTable &Table) const {
  return Table.install(this->Snapshot, this->Complete, this->Changes,
                       this->Target);
}

void TableStaging::clear() { *this = TableStaging(); }

} // namespace amaranthward
