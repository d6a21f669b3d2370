#include "libconsensus/replicacore.h"

#include "libconsensus/diskfolder.h"
#include "libcore/log.h"
#include <fmt/format.h>

namespace amaranthward {

namespace {

constexpr Duration SnapshotRetryDelay = std::chrono::seconds(1);

Result<void> removeTemporaryFiles(Folder &Files) {
  auto Names = Files.list();
  if (!Names)
    return tl::make_unexpected(Names.error());
  for (const std::string &Name : *Names)
    if (Name.ends_with(TemporarySuffix))
      if (auto Removed = Files.remove(Name); !Removed)
        return Removed;
  return {};
}

DiskIdentity drawIdentity(const RandomFunction &Random) {
  return DiskIdentity(fmt::format("{:016x}{:016x}", Random(), Random()));
}

} // namespace

const char *toString(Role Which) {
  switch (Which) {
  case Role::Follower:
    return "follower";
  case Role::PreCandidate:
    return "pre-candidate";
  case Role::Candidate:
    return "candidate";
  case Role::Leader:
    return "leader";
  }
  return "unknown";
}

ReplicaCore::ReplicaCore(ReplicaOptions Options, ReplicaHooks Hooks,
                         HardState Hard, LogStore Log, SnapshotStore Snapshots)
    : Options(std::move(Options)), Hooks(std::move(Hooks)),
      Hard(std::move(Hard)), Log(std::move(Log)),
      Snapshots(std::move(Snapshots)), Logger(logFor("consensus")) {}

Result<std::unique_ptr<ReplicaCore>> ReplicaCore::create(ReplicaOptions Options,
                                                         ReplicaHooks Hooks) {
  std::shared_ptr<Folder> Files = Hooks.Files;
  if (!Files) {
    auto Opened = DiskFolder::create(Options.DataFolder);
    if (!Opened)
      return tl::make_unexpected(Opened.error());
    Files = *Opened;
  }
  if (auto Removed = removeTemporaryFiles(*Files); !Removed)
    return tl::make_unexpected(Removed.error());
  auto Hard = HardState::create(Files, drawIdentity(Hooks.Random));
  if (!Hard)
    return tl::make_unexpected(Hard.error());
  auto Snapshots = SnapshotStore::create(Files);
  if (!Snapshots)
    return tl::make_unexpected(Snapshots.error());
  auto Log =
      LogStore::create(Files, {Options.SegmentBytes, Options.LogQuotaBytes});
  if (!Log)
    return tl::make_unexpected(Log.error());
  std::unique_ptr<ReplicaCore> Core(
      new ReplicaCore(std::move(Options), std::move(Hooks), std::move(*Hard),
                      std::move(*Log), std::move(*Snapshots)));
  if (auto Recovered = Core->recover(); !Recovered)
    return tl::make_unexpected(Recovered.error());
  return Core;
}

Result<void> ReplicaCore::recover() {
  auto Newest = this->snapshot();
  LogIndex First = this->Log.firstIndex();
  LogIndex Covered = Newest ? Newest->Last : LogIndex();
  if (First > Covered.next())
    return fail(ErrorCode::Corrupt,
                fmt::format("{}: entries {} to {} are missing from the log",
                            this->Options.DataFolder, Covered.next().value(),
                            First.value() - 1));
  if (Newest) {
    const LogEntry *Last = this->Log.at(Covered);
    // A crash between saving a received snapshot and discarding the log leaves
    // entries that the snapshot replaces.
    if (First != Covered.next() && !(Last && Last->At == Newest->LastTerm))
      if (auto Reset = this->Log.reset(Covered.next()); !Reset)
        return Reset;
    this->Committed = Covered;
    this->Hooks.RestoreSnapshot(Newest->State, Covered);
  }
  this->scanVoterSets();
  if (this->Log.lastIndex() > LogIndex() && this->isEmpty())
    return fail(ErrorCode::Corrupt, this->Options.DataFolder +
                                        ": the log does not start with a "
                                        "voter set");
  return {};
}

void ReplicaCore::scanVoterSets() {
  this->Sets.clear();
  auto Newest = this->snapshot();
  this->Sets.emplace_back(Newest ? Newest->Last : LogIndex(),
                          Newest ? Newest->Voters : VoterSet());
  for (LogIndex Index = this->Sets.back().first.next();
       Index <= this->Log.lastIndex(); Index = Index.next())
    this->noteVoterSet(*this->Log.at(Index));
}

void ReplicaCore::noteVoterSet(const LogEntry &Entry) {
  if (Entry.Type != EntryType::VoterSet)
    return;
  auto Value = parseJson(Entry.Payload);
  auto Parsed = Value ? VoterSet::parse(*Value)
                      : Result<VoterSet>(tl::make_unexpected(Value.error()));
  if (Parsed)
    this->Sets.emplace_back(Entry.Index, std::move(*Parsed));
  else
    this->failStorage(
        {ErrorCode::Corrupt, fmt::format("entry {}: {}", Entry.Index.value(),
                                         Parsed.error().Message)});
}

void ReplicaCore::dropVoterSetsAfter(LogIndex Index) {
  while (this->Sets.size() > 1 && this->Sets.back().first > Index)
    this->Sets.pop_back();
}

const VoterSet &ReplicaCore::votersAt(LogIndex Index) const {
  std::size_t Place = this->Sets.size() - 1;
  while (Place > 0 && this->Sets[Place].first > Index)
    --Place;
  return this->Sets[Place].second;
}

std::optional<Term> ReplicaCore::termAt(LogIndex Index) const {
  if (Index == LogIndex())
    return Term();
  if (const LogEntry *Entry = this->Log.at(Index))
    return Entry->At;
  auto Newest = this->snapshot();
  if (Newest && Newest->Last == Index)
    return Newest->LastTerm;
  return std::nullopt;
}

Term ReplicaCore::lastTerm() const {
  return this->termAt(this->Log.lastIndex()).value_or(Term());
}

void ReplicaCore::send(const ReplicaName &To, const DiskIdentity &ToDisk,
                       const char *Type, Json Body) const {
  Body["type"] = Type;
  Body["cluster"] = this->voters().Cluster.str();
  Body["from"] = this->identity().str();
  Body["to"] = ToDisk.str();
  Body["term"] = this->term().value();
  this->Hooks.Send(To, Body);
}

bool ReplicaCore::persistTerm(Term Next, const DiskIdentity &Vote) {
  bool Changed = Next != this->term();
  auto Written = this->Hard.write(Next, Vote);
  if (Written) {
    this->DiskFull = false;
    this->RoleChanged = this->RoleChanged || Changed;
    return true;
  }
  if (Written.error().Code == ErrorCode::Exhausted) {
    this->DiskFull = true;
    this->logger().warn("{}: term {} not stored: {}", this->Options.Self.str(),
                        Next.value(), Written.error().Message);
  } else {
    this->failStorage(Written.error());
  }
  return false;
}

void ReplicaCore::becomeFollower(const ReplicaName &Leader) {
  if (this->isLeader())
    this->Pending.failAfter(LogIndex(),
                            {ErrorCode::Unavailable,
                             "leadership was lost; the outcome is unknown"});
  this->RoleChanged = this->RoleChanged ||
                      this->CurrentRole != Role::Follower ||
                      this->KnownLeader != Leader;
  this->CurrentRole = Role::Follower;
  this->KnownLeader = Leader;
}

void ReplicaCore::becomeCandidate(Role Kind) {
  this->CurrentRole = Kind;
  this->KnownLeader = ReplicaName();
  this->RoleChanged = true;
}

void ReplicaCore::becomeLeader() {
  this->CurrentRole = Role::Leader;
  this->KnownLeader = this->Options.Self;
  this->RoleChanged = true;
  this->TermStart = this->appendOwn(EntryType::Noop, "");
  this->logger().info("{}: leads term {} from entry {}",
                      this->Options.Self.str(), this->term().value(),
                      this->TermStart.value());
}

LogIndex ReplicaCore::appendOwn(EntryType Type, std::string Payload) {
  LogIndex Index = this->Log.lastIndex().next();
  this->appendReceived({Index, this->term(), Type, std::move(Payload)});
  return Index;
}

void ReplicaCore::appendReceived(LogEntry Entry) {
  this->noteVoterSet(Entry);
  this->Log.append(std::move(Entry));
}

bool ReplicaCore::truncateFrom(LogIndex Index) {
  this->dropVoterSetsAfter(LogIndex(Index.value() - 1));
  auto Cut = this->Log.truncateFrom(Index);
  if (!Cut)
    this->failStorage(Cut.error());
  return Cut.has_value();
}

Result<void> ReplicaCore::flush() {
  if (this->Log.syncedIndex() == this->Log.lastIndex())
    return {};
  auto Flushed = this->Log.flush();
  if (Flushed)
    this->DiskFull = false;
  else if (Flushed.error().Code == ErrorCode::Exhausted)
    this->handleFullDisk(Flushed.error());
  else
    this->failStorage(Flushed.error());
  return Flushed;
}

void ReplicaCore::handleFullDisk(const Error &Cause) {
  if (!this->DiskFull)
    this->logger().error("{}: new records are refused: {}",
                         this->Options.Self.str(), Cause.Message);
  this->DiskFull = true;
  this->Log.dropPending();
  this->dropVoterSetsAfter(this->Log.lastIndex());
  this->Pending.failAfter(this->Log.lastIndex(), Cause);
  if (this->isLeader() && this->TermStart > this->Log.lastIndex())
    this->becomeFollower(ReplicaName());
}

void ReplicaCore::commitThrough(LogIndex Index) {
  while (this->Committed < Index) {
    const LogEntry *Entry = this->Log.at(this->Committed.next());
    if (!Entry)
      return;
    this->Committed = Entry->Index;
    this->BytesSinceSnapshot += Entry->Payload.size();
    if (Entry->Type == EntryType::Payload)
      this->Hooks.Apply(Entry->Index, Entry->At, Entry->Payload);
    if (this->isLeader())
      this->Pending.complete(this->Committed);
  }
}

std::size_t ReplicaCore::snapshotThreshold() const {
  auto Newest = this->snapshot();
  std::size_t Size = Newest ? Newest->State.size() : 0;
  return std::max(this->Options.SnapshotAfterBytes,
                  this->Options.SnapshotLogRatio * Size);
}

void ReplicaCore::takeSnapshotIfDue() {
  bool Due = this->BytesSinceSnapshot >= this->snapshotThreshold() ||
             (this->DiskFull && this->BytesSinceSnapshot > 0);
  if (this->Failed || !Due || this->now() < this->NextSnapshot)
    return;
  LogIndex Last = this->Committed;
  Instant Start = this->now();
  auto Saved =
      this->Snapshots.save({Last, *this->termAt(Last), this->votersAt(Last),
                            this->Hooks.TakeSnapshot()});
  // A full disk may need the space of the last segment too.
  if (Saved)
    Saved = this->DiskFull && Last == this->Log.lastIndex()
                ? this->Log.reset(Last.next())
                : this->Log.discardThrough(Last);
  if (Saved) {
    this->logger().info(
        "{}: snapshot of {} bytes through entry {}, after {} bytes of log; "
        "took {} ms",
        this->Options.Self.str(), this->snapshot()->State.size(), Last.value(),
        this->BytesSinceSnapshot, (this->now() - Start).count() / 1000);
    this->BytesSinceSnapshot = 0;
    this->scanVoterSets();
  } else if (Saved.error().Code == ErrorCode::Exhausted) {
    this->NextSnapshot = this->now() + SnapshotRetryDelay;
    this->logger().warn("{}: no snapshot: {}", this->Options.Self.str(),
                        Saved.error().Message);
  } else {
    this->failStorage(Saved.error());
  }
}

Result<void> ReplicaCore::install(Snapshot Received) {
  LogIndex Last = Received.Last;
  bool KeepRest = this->termAt(Last) == Received.LastTerm;
  auto Done = this->Snapshots.save(std::move(Received));
  if (!Done && Done.error().Code == ErrorCode::Exhausted) {
    this->DiskFull = true;
    return Done;
  }
  if (Done)
    Done = KeepRest ? this->Log.discardThrough(Last)
                    : this->Log.reset(Last.next());
  if (!Done) {
    this->failStorage(Done.error());
    return Done;
  }
  this->scanVoterSets();
  this->BytesSinceSnapshot = 0;
  this->Committed = Last;
  this->Hooks.RestoreSnapshot(this->snapshot()->State, Last);
  return {};
}

void ReplicaCore::failStorage(const Error &Cause) {
  if (this->Failed)
    return;
  this->logger().critical("{}: storage failed, out of service until restart: "
                          "{}",
                          this->Options.Self.str(), Cause.Message);
  this->Failed = true;
  this->becomeFollower(ReplicaName());
  this->RoleChanged = true;
}

bool ReplicaCore::takeRoleChange() {
  return std::exchange(this->RoleChanged, false);
}

} // namespace amaranthward
