#include "libdistribution/incomingtransfer.h"

namespace amaranthward {

void IncomingTransfer::add(const ClusterId &From, TableVersion NewSince,
                           const std::optional<TableCursor> &Cursor,
                           SharedChunk Chunk) {
  if (!Cursor) {
    this->clear();
    this->Cluster = From;
    this->Since = NewSince;
  } else if (this->Entries.empty() || From != this->Cluster ||
             NewSince != this->Since) {
    return;
  }
  this->Entries.push_back({Cursor, std::move(Chunk)});
}

SharedChunk
IncomingTransfer::find(TableVersion Wanted,
                       const std::optional<TableCursor> &Cursor) const {
  if (Wanted != this->Since)
    return nullptr;
  for (const Entry &Received : this->Entries)
    if (Received.Cursor == Cursor)
      return Received.Chunk;
  return nullptr;
}

} // namespace amaranthward
