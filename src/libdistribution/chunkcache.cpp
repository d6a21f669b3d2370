#include "libdistribution/chunkcache.h"

#include "libcore/compression.h"

namespace amaranthward {

TableChunk readChunk(const ResourceTable &Table, TableVersion Since,
                     const std::optional<TableCursor> &Cursor,
                     std::size_t MaxBytes) {
  if (Cursor && Table.canContinue(*Cursor))
    return Table.read(*Cursor, MaxBytes);
  return Table.read(Since, MaxBytes);
}

SharedChunk ChunkCache::read(const ResourceTable &Table, TableVersion Since,
                             const std::optional<TableCursor> &Cursor,
                             std::size_t MaxBytes) {
  if (Table.current() != this->Version || Table.complete() != this->Complete ||
      this->Entries.size() >= MaxEntries)
    this->Entries.clear();
  this->Version = Table.current();
  this->Complete = Table.complete();
  for (const Entry &Known : this->Entries)
    if (Known.Since == Since && Known.Cursor == Cursor &&
        Known.MaxBytes == MaxBytes)
      return Known.Chunk;
  const TableChunk Chunk = readChunk(Table, Since, Cursor, MaxBytes);
  auto Made = std::make_shared<EncodedChunk>();
  Made->Data = compressText(dumpJson(toJson(Chunk)));
  Made->PlainBytes = Chunk.Bytes;
  Made->HasNext = Chunk.Next.has_value();
  ++this->Encoded;
  this->Entries.push_back({Since, Cursor, MaxBytes, Made});
  return Made;
}

} // namespace amaranthward
