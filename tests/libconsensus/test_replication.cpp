#include "libconsensus/testcluster.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

std::string otherThan(TestCluster &Bus, const std::string &Name) {
  return Bus.Names.front() == Name ? Bus.Names.back() : Bus.Names.front();
}

std::uint64_t snapshotOf(TestCluster &Bus, const std::string &Name) {
  return Bus.at(Name).Replica->status()["snapshot"].get<std::uint64_t>();
}

} // namespace

TEST_CASE("Racing proposals all get one outcome and one order") {
  // Guards against proposals that are lost, applied twice or reordered.
  TestCluster Bus(11);
  Bus.startAll();
  REQUIRE(Bus.waitForLeader());
  std::vector<TestCluster::OutcomePtr> Outcomes;
  for (int Number = 0; Number < 200; ++Number)
    for (const std::string &Name : Bus.Names)
      Outcomes.push_back(
          Bus.propose(Name, Name + "-" + std::to_string(Number)));
  Bus.run(1s);
  std::size_t Committed = 0;
  for (const auto &Open : Outcomes) {
    REQUIRE(Open->Settled);
    Committed += Open->Value ? 1 : 0;
    if (!Open->Value)
      CHECK((Open->Value.error().Code == ErrorCode::Refused));
  }
  CHECK(Committed == 200);
  for (const std::string &Name : Bus.Names)
    CHECK(Bus.at(Name).State.size() == 200);
  CHECK(Bus.violations().empty());
}

TEST_CASE("Proposals from inside callbacks are accepted") {
  // Guards against iterators that a nested call makes invalid.
  TestCluster Bus(12);
  Bus.startAll();
  REQUIRE(Bus.waitForLeader());
  ConsensusReplica &Leader = *Bus.leader();
  int Left = 20;
  std::function<void(Result<LogIndex>)> Next = [&](Result<LogIndex> Value) {
    REQUIRE(Value);
    if (--Left > 0)
      Leader.propose("nested", Next);
  };
  Leader.propose("nested", Next);
  Leader.propose("beside", nullptr);
  CHECK(Bus.runUntil([&] { return Left == 0; }));
}

TEST_CASE("Entries of earlier terms commit only with one of the current term") {
  // Guards against this order of events: an entry reaches a minority, another
  // replica leads and stores a conflicting entry, the first leader returns and
  // brings its old entry to a majority, and the other one then replaces it.
  TestCluster Bus(25, {"a", "b", "c", "d", "e"});
  Bus.Options.MaxAppendBytes = 1; // One entry in a message, one at a time.
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  REQUIRE(Bus.runUntil([&] { return Bus.allHold("before"); }));
  std::vector<std::string> Left;
  std::string First = Bus.leaderName();
  for (const std::string &Name : Bus.Names)
    if (Name != First)
      Left.push_back(Name);
  std::string Second = Left[0];
  Left.erase(Left.begin());
  auto LastOf = [&](const std::string &Name) {
    return Bus.at(Name).Replica->lastIndex();
  };
  for (const std::string &Name : Left)
    Bus.at(Name).Refuses = {"append"};
  Bus.propose(First, "contested");
  LogIndex Contested = LastOf(First);
  REQUIRE(Bus.runUntil([&] { return LastOf(Second) == Contested; }, 200ms));
  Bus.crash(First);
  Bus.crash(Second);
  REQUIRE(Bus.waitForLeader());
  std::string Rival = Bus.leaderName();
  Bus.run(20ms);
  REQUIRE(LastOf(Rival) == Contested);
  Bus.crash(Rival);
  std::erase(Left, Rival);
  Bus.at(Left[0]).Refuses.clear();
  REQUIRE(Bus.start(First).empty());
  REQUIRE(Bus.start(Second).empty());
  REQUIRE(Bus.runUntil([&] { return LastOf(Left[0]) == Contested; }));
  Bus.run(10ms);
  std::string Returned = Bus.leaderName();
  CHECK((Returned == First || Returned == Second));
  CHECK(Bus.at(Returned).Replica->commitIndex() < Contested);
  Bus.cut(First);
  Bus.cut(Second);
  Bus.at(Left[1]).Refuses.clear();
  Bus.at(Rival).Refuses.clear();
  REQUIRE(Bus.start(Rival).empty());
  REQUIRE(Bus.commit("after"));
  Bus.heal();
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  Bus.checkAcknowledged();
  CHECK(Bus.violations() == "");
}

TEST_CASE("A large backlog travels in bounded messages") {
  // Guards against messages that grow with the backlog, and against one round
  // trip per entry when logs have diverged.
  TestCluster Bus(13);
  Bus.Options.MaxAppendBytes = 4096;
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Old = Bus.leaderName();
  Bus.cut(Old);
  for (int Number = 0; Number < 500; ++Number)
    Bus.propose(Old, std::string(100, 'x') + std::to_string(Number));
  Bus.run(2s);
  for (int Number = 0; Number < 20; ++Number)
    REQUIRE(Bus.commit(std::string(1000, 'y') + std::to_string(Number)));
  Bus.heal();
  std::size_t Before = Bus.Messages;
  CHECK(Bus.runUntil([&] { return Bus.allHold(std::string(1000, 'y') + "19"); },
                     1s));
  CHECK(Bus.Messages - Before < 100);
  CHECK(Bus.violations().empty());
}

TEST_CASE("A replica behind the log's start gets the snapshot in chunks") {
  // Guards against a replica that can never catch up, also when chunks are
  // lost, repeated and reordered.
  TestCluster Bus(14);
  Bus.Options.SnapshotAfterBytes = 3000;
  Bus.Options.SegmentBytes = 1000;
  Bus.Options.SnapshotChunkBytes = 512;
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Away = otherThan(Bus, Bus.leaderName());
  Bus.crash(Away);
  for (int Number = 0; Number < 100; ++Number)
    REQUIRE(Bus.commit(std::string(100, 'x') + std::to_string(Number)));
  CHECK(snapshotOf(Bus, Bus.leaderName()) > 50);
  CHECK(Bus.leader()->status()["first"].get<std::uint64_t>() > 50);
  Bus.LossPercent = 20;
  Bus.DuplicatePercent = 20;
  Bus.MaxDelayMs = 60;
  CHECK(Bus.start(Away).empty());
  CHECK(Bus.runUntil([&] { return Bus.allHold(std::string(100, 'x') + "99"); },
                     60s));
  CHECK(snapshotOf(Bus, Away) > 50);
  CHECK(Bus.violations().empty());
}

TEST_CASE("a large state is written again at each record") {
  // Guards against snapshots of a large state beside nearly every record.
  TestCluster Bus(21);
  Bus.Options.SnapshotAfterBytes = 1000;
  Bus.Options.SnapshotLogRatio = 4;
  Bus.startAll();
  REQUIRE(Bus.commit(std::string(50000, 'x')));
  Bus.run(1s);
  const std::uint64_t First = snapshotOf(Bus, Bus.leaderName());
  REQUIRE(First > 0);
  for (int Number = 0; Number < 50; ++Number)
    REQUIRE(Bus.commit(std::string(2000, 'y') + std::to_string(Number)));
  CHECK(snapshotOf(Bus, Bus.leaderName()) == First);
  for (int Number = 0; Number < 60; ++Number)
    REQUIRE(Bus.commit(std::string(2000, 'z') + std::to_string(Number)));
  CHECK(snapshotOf(Bus, Bus.leaderName()) > First);
}

TEST_CASE("Replicas restart from snapshot plus log") {
  // Guards against state that is lost or applied twice on restart.
  TestCluster Bus(15);
  Bus.Options.SnapshotAfterBytes = 1000;
  Bus.Options.SegmentBytes = 500;
  Bus.startAll();
  for (int Round = 0; Round < 5; ++Round) {
    for (int Number = 0; Number < 17; ++Number)
      REQUIRE(Bus.commit(std::string(50, 'x') + std::to_string(Round) + "-" +
                         std::to_string(Number)));
    for (const std::string &Name : Bus.Names)
      Bus.crash(Name);
    for (const std::string &Name : Bus.Names)
      CHECK(Bus.start(Name).empty());
  }
  REQUIRE(Bus.commit("last"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("last"); }));
  Bus.checkAcknowledged();
  for (const std::string &Name : Bus.Names) {
    CHECK(snapshotOf(Bus, Name) > 0);
    CHECK(Bus.at(Name).State.size() == 86);
  }
  CHECK(Bus.violations().empty());
}

TEST_CASE("A leader with a full disk refuses and recovers") {
  // Guards against a process that dies or a log that is damaged when space
  // runs out, and against a refusal that is not true.
  TestCluster Bus(16);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Leader = Bus.leaderName();
  Bus.at(Leader).Disk->Full = true;
  auto Refused = Bus.propose(Leader, "refused");
  Bus.run(100ms);
  REQUIRE(Refused->Settled);
  CHECK((Refused->Value.error().Code == ErrorCode::Exhausted));
  CHECK(Bus.at(Leader).Replica->isDiskFull());
  Bus.run(5s);
  CHECK(Bus.leaderName() == Leader);
  Bus.at(Leader).Disk->Full = false;
  REQUIRE(Bus.commit("after"));
  CHECK_FALSE(Bus.at(Leader).Replica->isDiskFull());
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  CHECK_FALSE(Bus.allHold("refused"));
  CHECK(Bus.violations().empty());
}

TEST_CASE("A follower with a full disk does not acknowledge") {
  // Guards against counting a record that the follower could not store.
  TestCluster Bus(17);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Leader = Bus.leaderName();
  for (const std::string &Name : Bus.Names)
    Bus.at(Name).Disk->Full = Name != Leader;
  auto Open = Bus.propose(Leader, "waiting");
  Bus.run(2s);
  CHECK_FALSE(Open->Settled);
  CHECK(Bus.leaderName() == Leader);
  for (const std::string &Name : Bus.Names)
    Bus.at(Name).Disk->Full = false;
  CHECK(Bus.runUntil([&] { return Open->Settled; }, 3s));
  CHECK(Open->Value);
  CHECK(Bus.violations().empty());
}

TEST_CASE("A full log quota is relieved by a snapshot") {
  // Guards against a cluster that refuses records for ever although a
  // snapshot would free the space.
  TestCluster Bus(18);
  Bus.Options.LogQuotaBytes = 5000;
  Bus.startAll();
  for (int Number = 0; Number < 200; ++Number)
    REQUIRE(Bus.commit(std::string(100, 'x') + std::to_string(Number)));
  CHECK(
      Bus.runUntil([&] { return Bus.allHold(std::string(100, 'x') + "199"); }));
  Bus.checkAcknowledged();
  CHECK(Bus.violations().empty());
}

TEST_CASE("A replica whose sync failed stops acknowledging") {
  // Guards against acknowledging records that the kernel has dropped.
  TestCluster Bus(19);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Leader = Bus.leaderName();
  Bus.at(Leader).Disk->FailSyncs = true;
  auto Lost = Bus.propose(Leader, "unknown");
  Bus.run(100ms);
  CHECK(Bus.at(Leader).Replica->hasFailed());
  REQUIRE(Lost->Settled);
  CHECK((Lost->Value.error().Code == ErrorCode::Unavailable));
  REQUIRE(Bus.commit("after"));
  std::string Second = Bus.leaderName();
  for (const std::string &Name : Bus.Names)
    if (Name != Leader && Name != Second)
      Bus.at(Name).Disk->FailSyncs = true;
  auto Alone = Bus.propose(Second, "alone");
  Bus.run(3s);
  REQUIRE(Alone->Settled);
  CHECK_FALSE(Alone->Value);
  CHECK(Bus.violations().empty());
}
