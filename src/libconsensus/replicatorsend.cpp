#include "libconsensus/replicator.h"
#include "libconsensus/wire.h"

namespace amaranthward {

namespace {

/// Append messages of full size that may wait for an answer.
constexpr std::size_t MaxInflightMessages = 4;
/// Bytes counted for an entry beside its payload.
constexpr std::size_t EntryOverhead = 64;

} // namespace

void Replicator::sendTo(const DiskIdentity &Disk, Progress &Peer,
                        bool Heartbeat) {
  auto Newest = this->Core.snapshot();
  bool Behind = Peer.Next < this->Core.log().firstIndex() ||
                !this->Core.termAt(LogIndex(Peer.Next.value() - 1));
  bool Paused = this->Core.now() < Peer.PausedUntil;
  if (Behind && !Peer.Sending && Newest && !Paused) {
    Peer.Sending = Newest;
    Peer.SendOffset = 0;
    Peer.ChunkSent = false;
  }
  if (Peer.Sending) {
    if (Heartbeat || !Peer.ChunkSent)
      this->sendChunk(Disk, Peer);
    return;
  }
  if (!Peer.Probing && !Paused)
    this->sendEntries(Disk, Peer);
  bool StillDue = Heartbeat && Peer.LastSent != this->Core.now();
  if (StillDue)
    this->sendAppend(Disk, Peer, /*WithEntries=*/false);
}

void Replicator::sendEntries(const DiskIdentity &Disk, Progress &Peer) {
  std::size_t Window =
      MaxInflightMessages * this->Core.options().MaxAppendBytes;
  while (Peer.Next <= this->Core.log().syncedIndex() &&
         Peer.InflightBytes < Window)
    this->sendAppend(Disk, Peer, /*WithEntries=*/true);
}

void Replicator::sendAppend(const DiskIdentity &Disk, Progress &Peer,
                            bool WithEntries) {
  LogIndex Previous(Peer.Next.value() - 1);
  Json Entries = Json::array();
  std::size_t Bytes = 0;
  while (WithEntries && Peer.Next <= this->Core.log().syncedIndex()) {
    const LogEntry &Entry = *this->Core.log().at(Peer.Next);
    std::size_t Size = Entry.Payload.size() + EntryOverhead;
    if (!Entries.empty() && Bytes + Size > this->Core.options().MaxAppendBytes)
      break;
    Entries.push_back(encodeEntry(Entry));
    Bytes += Size;
    Peer.Next = Peer.Next.next();
  }
  if (Bytes > 0) {
    Peer.Inflight.emplace_back(LogIndex(Peer.Next.value() - 1), Bytes);
    Peer.InflightBytes += Bytes;
  }
  Peer.LastSent = this->Core.now();
  // The previous term is unknown only for a paused follower that needs a
  // snapshot. Term 0 matches no entry, so it answers without a new match.
  this->Core.send(
      Peer.Name, Disk, wire::Append,
      {{"prev_index", Previous.value()},
       {"prev_term", this->Core.termAt(Previous).value_or(Term()).value()},
       {"entries", std::move(Entries)},
       {"commit", this->Core.commitIndex().value()},
       {"round", this->Round}});
}

void Replicator::sendChunk(const DiskIdentity &Disk, Progress &Peer) {
  const Snapshot &Sent = *Peer.Sending;
  Peer.LastSent = this->Core.now();
  Peer.ChunkSent = true;
  this->Core.send(
      Peer.Name, Disk, wire::Snapshot,
      {{"last", Sent.Last.value()},
       {"last_term", Sent.LastTerm.value()},
       {"voters", Sent.Voters.toJson()},
       {"offset", static_cast<std::uint64_t>(Peer.SendOffset)},
       {"total", static_cast<std::uint64_t>(Sent.State.size())},
       {"data",
        encodeBase64(std::string_view(Sent.State)
                         .substr(Peer.SendOffset,
                                 this->Core.options().SnapshotChunkBytes))},
       {"round", this->Round}});
}

} // namespace amaranthward
