#include "libconsensus/logreceiver.h"

#include "libconsensus/wire.h"
#include <algorithm>
#include <spdlog/logger.h>

namespace amaranthward {

void LogReceiver::answer(const ReplicaName &From, const Json &Message,
                         Json Body) {
  Body["round"] = numberAt(Message, "round");
  this->Held.push_back({From, DiskIdentity(textAt(Message, "from")),
                        this->Core.term(), std::move(Body)});
}

void LogReceiver::receiveAppend(const ReplicaName &From, const Json &Message) {
  LogIndex Previous(numberAt(Message, "prev_index"));
  auto Entries = decodeEntries(Message, Previous);
  if (!Entries) {
    this->Core.logger().warn("{}: append from {} ignored: {}",
                             this->Core.options().Self.str(), From.str(),
                             Entries.error().Message);
    return;
  }
  // Committed entries are equal everywhere, whatever the message claims.
  bool Matches =
      Previous <= this->Core.commitIndex() ||
      this->Core.termAt(Previous) == Term(numberAt(Message, "prev_term"));
  if (!Matches || (this->Core.isEmpty() && !this->isOwnHistory(*Entries)))
    return this->answer(
        From, Message,
        {{"ok", false}, {"hint", this->conflictHint(Previous).value()}});
  LogIndex Last(Previous.value() + Entries->size());
  if (!this->store(std::move(*Entries)))
    return;
  LogIndex Commit = std::min(Last, LogIndex(numberAt(Message, "commit")));
  this->Committed = std::max(this->Committed, Commit);
  this->answer(From, Message, {{"ok", true}, {"match", Last.value()}});
}

bool LogReceiver::isOwnHistory(const std::vector<LogEntry> &Entries) const {
  // An empty log may start only with the voter set of the first formation.
  return Entries.empty() || Entries.front().Type == EntryType::VoterSet;
}

LogIndex LogReceiver::conflictHint(LogIndex Previous) const {
  LogIndex Last = this->Core.log().lastIndex();
  if (Previous > Last)
    return Last.next();
  // Skips the whole conflicting term, which saves a round trip per entry.
  auto Conflicting = this->Core.termAt(Previous);
  LogIndex Hint = Previous;
  while (Hint > this->Core.commitIndex().next() &&
         this->Core.termAt(LogIndex(Hint.value() - 1)) == Conflicting)
    Hint = LogIndex(Hint.value() - 1);
  return Hint;
}

bool LogReceiver::store(std::vector<LogEntry> Entries) {
  for (LogEntry &Entry : Entries) {
    if (Entry.Index <= this->Core.commitIndex())
      continue;
    if (Entry.Index <= this->Core.log().lastIndex()) {
      if (this->Core.termAt(Entry.Index) == Entry.At)
        continue;
      if (Entry.Index <= this->Committed) {
        this->Core.failStorage(
            {ErrorCode::Corrupt, "the leader's log contradicts entry " +
                                     std::to_string(Entry.Index.value()) +
                                     ", which is committed"});
        return false;
      }
      if (!this->Core.truncateFrom(Entry.Index))
        return false;
    }
    this->Core.appendReceived(std::move(Entry));
  }
  return true;
}

void LogReceiver::receiveChunk(const ReplicaName &From, const Json &Message) {
  LogIndex Last(numberAt(Message, "last"));
  Term LastTerm(numberAt(Message, "last_term"));
  std::uint64_t Offset = numberAt(Message, "offset");
  auto Data = decodeBase64(textAt(Message, "data"));
  auto Voters = VoterSet::parse(Message.value("voters", Json()));
  if (!Data || !Voters || Last == LogIndex()) {
    this->Core.logger().warn("{}: malformed snapshot chunk from {} ignored",
                             this->Core.options().Self.str(), From.str());
    return;
  }
  if (Last <= this->Core.commitIndex())
    return this->answer(
        From, Message,
        {{"ok", true}, {"match", this->Core.commitIndex().value()}});
  // Two replicas may serialize the same state differently, so chunks of
  // different senders are never mixed.
  DiskIdentity Sender(textAt(Message, "from"));
  if (Last != this->Staged.Last || LastTerm != this->Staged.LastTerm ||
      Sender != this->StagedFrom) {
    this->Staged = {Last, LastTerm, std::move(*Voters), ""};
    this->StagedFrom = Sender;
  }
  if (Offset == this->Staged.State.size())
    this->Staged.State += *Data;
  if (this->Staged.State.size() >= numberAt(Message, "total"))
    return this->finishSnapshot(From, Message);
  auto Size = static_cast<std::uint64_t>(this->Staged.State.size());
  this->answer(From, Message, {{"last", Last.value()}, {"offset", Size}});
}

void LogReceiver::finishSnapshot(const ReplicaName &From, const Json &Message) {
  LogIndex Last = this->Staged.Last;
  auto Installed = this->Core.install(std::exchange(this->Staged, {}));
  if (Installed) {
    this->Core.logger().info("{}: installed a snapshot through entry {}",
                             this->Core.options().Self.str(), Last.value());
    return this->answer(From, Message, {{"ok", true}, {"match", Last.value()}});
  }
  if (Installed.error().Code == ErrorCode::Exhausted)
    this->answer(From, Message, {{"ok", false}, {"full", true}});
}

void LogReceiver::sendAnswers(bool DiskWasFull) {
  if (DiskWasFull)
    this->Committed = this->Core.commitIndex();
  for (Answer &One : std::exchange(this->Held, {})) {
    // An answer for an earlier term no longer describes this log.
    if (One.At != this->Core.term())
      continue;
    bool IsChunk = One.Body.contains("offset");
    bool Covers =
        LogIndex(numberAt(One.Body, "match")) <= this->Core.log().syncedIndex();
    if (!Covers)
      One.Body = {{"ok", false}, {"full", true}, {"round", One.Body["round"]}};
    this->Core.send(One.To, One.ToDisk,
                    IsChunk ? wire::SnapshotReply : wire::AppendReply,
                    std::move(One.Body));
  }
}

void LogReceiver::advanceCommit() {
  this->Core.commitThrough(
      std::min(this->Committed, this->Core.log().syncedIndex()));
}

} // namespace amaranthward
