#include "libconsensus/diskfolder.h"
#include "libconsensus/hardstate.h"
#include "libconsensus/logstore.h"
#include "libconsensus/memoryfolder.h"
#include "libconsensus/snapshotstore.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace amaranthward;

namespace {

constexpr const char *FirstSegment = "log-00000000000000000001";
/// Size of a record with an empty payload.
constexpr std::size_t RecordSize = 37;

LogEntry entry(std::uint64_t Index, std::string Payload = "",
               std::uint64_t At = 1) {
  return {LogIndex(Index), Term(At), EntryType::Payload, std::move(Payload)};
}

LogStore openLog(std::shared_ptr<Folder> Files, LogStore::Options Limits = {}) {
  auto Opened = LogStore::create(std::move(Files), Limits);
  REQUIRE(Opened);
  return std::move(*Opened);
}

/// Writes entries \a First to \a Last in one batch.
void write(LogStore &Log, std::uint64_t First, std::uint64_t Last) {
  for (std::uint64_t Index = First; Index <= Last; ++Index)
    Log.append(entry(Index));
  REQUIRE(Log.flush());
}

std::string errorOfOpening(std::shared_ptr<Folder> Files) {
  auto Opened = LogStore::create(std::move(Files), {});
  REQUIRE_FALSE(Opened);
  CHECK((Opened.error().Code == ErrorCode::Corrupt));
  return Opened.error().Message;
}

} // namespace

TEST_CASE("A torn tail is cut and the log continues after it") {
  // Guards against a crash during a write that keeps the replica from
  // starting, for every length that the write may have reached.
  for (std::size_t Kept = 0; Kept < 2 * RecordSize; ++Kept) {
    auto Files = std::make_shared<MemoryFolder>();
    {
      LogStore Log = openLog(Files);
      write(Log, 1, 3);
      write(Log, 4, 5);
    }
    REQUIRE(Files->truncate(FirstSegment, 3 * RecordSize + Kept));
    LogStore Log = openLog(Files);
    std::uint64_t Last = 3 + Kept / RecordSize;
    CHECK(Log.lastIndex() == LogIndex(Last));
    write(Log, Last + 1, Last + 1);
    CHECK(openLog(Files).lastIndex() == LogIndex(Last + 1));
  }
}

TEST_CASE("Pages of a torn batch that arrive out of order are cut") {
  // Guards against taking an unsynced batch whose first page was lost and
  // whose second one was written for damage of synced records.
  auto Files = std::make_shared<MemoryFolder>();
  LogStore Log = openLog(Files);
  write(Log, 1, 2);
  write(Log, 3, 6);
  Files->damage(FirstSegment, 2 * RecordSize + 5);
  CHECK(openLog(Files).lastIndex() == LogIndex(2));
}

TEST_CASE("Damage before the last batch stops the replica") {
  // Guards against dropping records that were acknowledged, at any byte.
  for (std::size_t Offset = 0; Offset < 2 * RecordSize; ++Offset) {
    auto Files = std::make_shared<MemoryFolder>();
    LogStore Log = openLog(Files);
    write(Log, 1, 2);
    write(Log, 3, 3);
    Files->damage(FirstSegment, Offset);
    std::string Record = std::to_string(Offset / RecordSize * RecordSize);
    CHECK(errorOfOpening(Files).find(std::string("memory/") + FirstSegment +
                                     ": damaged record at offset " + Record) ==
          0);
  }
}

TEST_CASE("Damage in an earlier segment and missing segments are found") {
  // Guards against a gap in the log that passes unnoticed.
  auto Files = std::make_shared<MemoryFolder>();
  LogStore Log = openLog(Files, {.SegmentBytes = 1});
  for (std::uint64_t Index = 1; Index <= 3; ++Index)
    write(Log, Index, Index);
  Files->damage(FirstSegment, RecordSize - 1);
  CHECK(errorOfOpening(Files).find(FirstSegment) != std::string::npos);
  Files->damage(FirstSegment, RecordSize - 1);
  REQUIRE(Files->remove("log-00000000000000000002"));
  CHECK(errorOfOpening(Files).find("starts at entry 3") != std::string::npos);
}

TEST_CASE("All pending records go into one sync") {
  // Guards against one sync per record.
  auto Files = std::make_shared<MemoryFolder>();
  LogStore Log = openLog(Files);
  write(Log, 1, 1);
  int Before = Files->Syncs;
  write(Log, 2, 1001);
  CHECK(Files->Syncs == Before + 1);
}

TEST_CASE("A full disk refuses records and recovers") {
  // Guards against half-written records that later block the log, and against
  // refused records that reappear after a crash.
  for (bool Crash : {false, true}) {
    auto Files = std::make_shared<MemoryFolder>();
    LogStore Log = openLog(Files);
    write(Log, 1, 2);
    Files->Full = true;
    Log.append(entry(3, "refused"));
    auto Flushed = Log.flush();
    REQUIRE_FALSE(Flushed);
    CHECK((Flushed.error().Code == ErrorCode::Exhausted));
    Log.dropPending();
    if (Crash)
      Files->crash(seededRandom(1));
    CHECK(Files->read(FirstSegment)->size() == 2 * RecordSize);
    Files->Full = false;
    write(Log, 3, 4);
    CHECK(openLog(Files).lastIndex() == LogIndex(4));
  }
}

TEST_CASE("The quota refuses records until segments are discarded") {
  // Guards against a log that grows until the disk is full.
  auto Files = std::make_shared<MemoryFolder>();
  LogStore Log =
      openLog(Files, {.SegmentBytes = 1, .QuotaBytes = 3 * RecordSize});
  for (std::uint64_t Index = 1; Index <= 3; ++Index)
    write(Log, Index, Index);
  Log.append(entry(4));
  CHECK((Log.flush().error().Code == ErrorCode::Exhausted));
  REQUIRE(Log.discardThrough(LogIndex(2)));
  CHECK(Log.flush());
  CHECK(openLog(Files).firstIndex() == LogIndex(3));
}

TEST_CASE("Truncation is durable over segments") {
  // Guards against overwritten entries that return after a crash.
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    auto Files = std::make_shared<MemoryFolder>();
    LogStore Log = openLog(Files, {.SegmentBytes = 2 * RecordSize});
    for (std::uint64_t Index = 1; Index <= 7; ++Index)
      write(Log, Index, Index);
    REQUIRE(Log.truncateFrom(LogIndex(4)));
    Files->crash(seededRandom(Seed));
    LogStore Reopened = openLog(Files);
    CHECK(Reopened.lastIndex() == LogIndex(3));
    Reopened.append(entry(4, "new", 2));
    REQUIRE(Reopened.flush());
    CHECK(openLog(Files).at(LogIndex(4))->At == Term(2));
  }
}

TEST_CASE("Identity, term and vote survive and damage is found") {
  // Guards against a second vote in one term after a restart, and against a
  // lost state file that would let the replica vote anew.
  auto Files = std::make_shared<MemoryFolder>();
  auto State = HardState::create(Files, DiskIdentity("one"));
  REQUIRE(State);
  REQUIRE(State->write(Term(7), DiskIdentity("other")));
  Files->crash(seededRandom(1));
  auto Again = HardState::create(Files, DiskIdentity("two"));
  REQUIRE(Again);
  CHECK(Again->identity() == DiskIdentity("one"));
  CHECK(Again->term() == Term(7));
  CHECK(Again->vote() == DiskIdentity("other"));
  Files->damage("state", 20);
  CHECK((HardState::create(Files, DiskIdentity("two")).error().Code ==
         ErrorCode::Corrupt));
  REQUIRE(Files->remove("state"));
  LogStore Log = openLog(Files);
  write(Log, 1, 1);
  CHECK((HardState::create(Files, DiskIdentity("two")).error().Code ==
         ErrorCode::Corrupt));
}

TEST_CASE("A crash during a state write keeps the old or the new state") {
  // Guards against a state file that is empty or half written.
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    auto Files = std::make_shared<MemoryFolder>();
    auto State = HardState::create(Files, DiskIdentity("one"));
    REQUIRE(State);
    Files->FailSyncs = Seed % 2 == 0;
    bool Written = State->write(Term(3), DiskIdentity("x")).has_value();
    Files->crash(seededRandom(Seed));
    auto Again = HardState::create(Files, DiskIdentity("two"));
    REQUIRE(Again);
    CHECK(Again->identity() == DiskIdentity("one"));
    CHECK((!Written || Again->term() == Term(3)));
  }
}

TEST_CASE("A damaged snapshot stops the replica") {
  // Guards against restoring state that was never taken.
  auto Files = std::make_shared<MemoryFolder>();
  auto Store = SnapshotStore::create(Files);
  REQUIRE(Store);
  VoterSet Voters{ClusterId("k"), {{DiskIdentity("d"), ReplicaName("a")}}};
  REQUIRE(Store->save({LogIndex(5), Term(2), Voters, "state"}));
  auto Again = SnapshotStore::create(Files);
  REQUIRE(Again);
  CHECK(Again->newest()->State == "state");
  CHECK(Again->newest()->Voters.contains(DiskIdentity("d")));
  Files->damage("snapshot-00000000000000000005", 30);
  auto Damaged = SnapshotStore::create(Files);
  REQUIRE_FALSE(Damaged);
  CHECK((Damaged.error().Code == ErrorCode::Corrupt));
}

TEST_CASE("A real folder keeps the log and admits one owner") {
  // Guards against a difference between the test folder and the file system,
  // and against two processes on one data folder.
  auto Path = std::filesystem::temp_directory_path() /
              ("amaranthward-log-" + std::to_string(::getpid()));
  std::filesystem::remove_all(Path);
  {
    auto Files = DiskFolder::create(Path.string());
    REQUIRE(Files);
    CHECK((DiskFolder::create(Path.string()).error().Code ==
           ErrorCode::Conflict));
    REQUIRE(HardState::create(*Files, DiskIdentity("one")));
    LogStore Log = openLog(*Files, {.SegmentBytes = 2 * RecordSize});
    for (std::uint64_t Index = 1; Index <= 9; ++Index)
      write(Log, Index, Index);
    REQUIRE(Log.truncateFrom(LogIndex(6)));
    REQUIRE(Log.discardThrough(LogIndex(2)));
  }
  auto Files = DiskFolder::create(Path.string());
  REQUIRE(Files);
  CHECK(HardState::create(*Files, DiskIdentity("two"))->identity() ==
        DiskIdentity("one"));
  LogStore Log = openLog(*Files);
  CHECK(Log.firstIndex() == LogIndex(3));
  CHECK(Log.lastIndex() == LogIndex(5));
  std::filesystem::remove_all(Path);
}
