#include "libconsensus/testcluster.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// The two names that are not \a Name.
std::pair<std::string, std::string> others(TestCluster &Bus,
                                           const std::string &Name) {
  std::vector<std::string> Left;
  for (const std::string &Other : Bus.Names)
    if (Other != Name)
      Left.push_back(Other);
  return {Left[0], Left[1]};
}

} // namespace

TEST_CASE("A cluster is not formed until every peer responds") {
  // Guards against two clusters formed by parts of the replicas.
  TestCluster Bus(21);
  Bus.start("a");
  Bus.start("b");
  Bus.run(10s);
  CHECK(Bus.leader() == nullptr);
  CHECK(Bus.at("a").Replica->clusterId().empty());
  Bus.start("c");
  CHECK(Bus.waitForLeader());
}

TEST_CASE("Hellos sent before this disk existed do not count") {
  // Guards against a second cluster formed on delayed hellos of replicas that
  // have joined another one since.
  TestCluster Bus(26);
  Bus.start("a");
  ConsensusReplica &Alone = *Bus.at("a").Replica;
  auto Greet = [&](const std::string &Heard) {
    for (const char *Name : {"b", "c"})
      Alone.receive(ReplicaName(Name), {{"type", "hello"},
                                        {"from", std::string("disk-") + Name},
                                        {"empty", true},
                                        {"heard", Heard}});
    Bus.run(400ms);
  };
  Greet("");
  Greet("earlier-disk-of-a");
  CHECK(Alone.clusterId().empty());
  Greet(Alone.identity().str());
  CHECK_FALSE(Alone.clusterId().empty());
}

TEST_CASE("Votes of disks outside the voter set do not count") {
  // Guards against a leader elected by a replica that lost its disk.
  TestCluster Bus(27);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Alone = others(Bus, Bus.leaderName()).first;
  ConsensusReplica &Replica = *Bus.at(Alone).Replica;
  Bus.cut(Alone);
  REQUIRE(Bus.runUntil(
      [&] { return Replica.status()["role"] == "pre-candidate"; }));
  Term Before = Replica.term();
  for (const char *Type : {"prevote_reply", "vote_reply"})
    Replica.receive(ReplicaName(Bus.leaderName()),
                    {{"type", Type},
                     {"from", "disk-of-a-learner"},
                     {"to", Replica.identity().str()},
                     {"cluster", Replica.clusterId().str()},
                     {"term", Before.value()},
                     {"next_term", Before.next().value()},
                     {"granted", true}});
  CHECK(Replica.term() == Before);
  CHECK_FALSE(Replica.isLeader());
}

TEST_CASE("A new leader changes no voter set before its term commits") {
  // Guards against two leaders that act on different voter sets whose
  // majorities need not intersect.
  TestCluster Bus(28);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Old = Bus.leaderName();
  std::string Lost = others(Bus, Old).first;
  std::string Other = others(Bus, Old).second;
  Bus.loseDisk(Lost);
  REQUIRE(Bus.start(Lost).empty());
  REQUIRE(Bus.runUntil([&] { return Bus.leader()->voters().size() == 2; }));
  // The removal is in both logs, but not yet committed.
  REQUIRE(Bus.runUntil(
      [&] {
        return Bus.at(Other).Replica->lastIndex() == Bus.leader()->lastIndex();
      },
      100ms));
  REQUIRE(Bus.leader()->voters().size() == 2);
  Bus.at(Old).Refuses = Bus.at(Other).Refuses = {"append"};
  Bus.crash(Old);
  REQUIRE(Bus.start(Old).empty());
  int StepsWithLeader = 0;
  for (int Step = 0; Step < 500; ++Step) {
    Bus.run(10ms);
    if (!Bus.leader())
      continue;
    ++StepsWithLeader;
    CHECK(Bus.leader()->voters().size() == 2);
  }
  CHECK(StepsWithLeader > 20);
  Bus.at(Old).Refuses.clear();
  Bus.at(Other).Refuses.clear();
  CHECK(Bus.runUntil([&] { return Bus.isVoter(Lost); }));
  CHECK(Bus.violations().empty());
}

TEST_CASE("A cluster is formed over a lossy network") {
  // Guards against replicas that end up in different clusters.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestCluster Bus(Seed, {"a", "b", "c", "d", "e"});
    Bus.LossPercent = 30;
    Bus.DuplicatePercent = 30;
    Bus.MaxDelayMs = 400;
    Bus.startAll();
    Bus.run(5s);
    Bus.LossPercent = 0;
    Bus.MaxDelayMs = 3;
    REQUIRE(Bus.commit("first"));
    CHECK(Bus.runUntil([&] { return Bus.allHold("first"); }));
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A disk lost during the formation does not block it") {
  // Guards against an empty replica that forms a second cluster beside one
  // that its old disk began.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    // Only b gets the first record.
    Bus.at("c").Refuses = {"form"};
    REQUIRE(Bus.runUntil(
        [&] { return !Bus.at("b").Replica->clusterId().empty(); }));
    Bus.loseDisk("a");
    Bus.at("c").Refuses.clear();
    REQUIRE(Bus.start("a").empty());
    REQUIRE(Bus.commit("first"));
    CHECK(Bus.runUntil([&] { return Bus.isVoter("a"); }));
    CHECK(Bus.runUntil([&] { return Bus.allHold("first"); }));
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A replica that lost its disk never votes on what it forgot") {
  // Guards against a commit lost in this order: the leader and one follower
  // hold it, the follower loses its disk, the leader stops, and the third
  // replica, which never had it, asks the empty one for its vote.
  TestCluster Bus(22);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Leader = Bus.leaderName();
  auto [Holder, Behind] = others(Bus, Leader);
  Bus.cut(Behind);
  REQUIRE(Bus.commit("kept"));
  Bus.loseDisk(Holder);
  Bus.crash(Leader);
  Bus.heal();
  REQUIRE(Bus.start(Holder).empty());
  Bus.run(20s);
  CHECK(Bus.leader() == nullptr);
  REQUIRE(Bus.start(Leader).empty());
  REQUIRE(Bus.commit("after"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("kept"); }));
  Bus.checkAcknowledged();
  CHECK(Bus.violations().empty());
}

TEST_CASE("A lost disk is replaced and a second VM may be lost after it") {
  // Guards against a repair that counts a replica before it holds the log.
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    for (int Number = 0; Number < 10; ++Number)
      REQUIRE(Bus.commit("before-" + std::to_string(Number)));
    // Seeds cover the loss of the leader's disk and of a follower's.
    std::string First = Bus.Names[Seed % 3];
    DiskIdentity Old = Bus.at(First).Replica->identity();
    Bus.loseDisk(First);
    REQUIRE(Bus.start(First).empty());
    CHECK(Bus.at(First).Replica->identity() != Old);
    REQUIRE(Bus.runUntil([&] { return Bus.isVoter(First); }));
    CHECK(Bus.leader()->voters().size() == 3);
    std::string Second =
        Seed % 2 == 0 ? Bus.leaderName() : others(Bus, First).first;
    Bus.loseDisk(Second);
    REQUIRE(Bus.commit("after"));
    Bus.run(1s);
    Bus.checkAcknowledged();
    REQUIRE(Bus.start(Second).empty());
    CHECK(Bus.runUntil([&] { return Bus.isVoter(Second); }));
    CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
    Bus.checkAcknowledged();
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A leader change between the two steps of a repair completes it") {
  // Guards against a repair that only its first leader could finish.
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    REQUIRE(Bus.commit("before"));
    std::string Lost = others(Bus, Bus.leaderName()).first;
    Bus.loseDisk(Lost);
    REQUIRE(Bus.start(Lost).empty());
    REQUIRE(Bus.runUntil(
        [&] { return Bus.leader() && Bus.leader()->voters().size() == 2; }));
    std::string Old = Bus.leaderName();
    Bus.crash(Old);
    Bus.run(Seed * 20ms);
    REQUIRE(Bus.start(Old).empty());
    REQUIRE(Bus.runUntil([&] { return Bus.isVoter(Lost); }));
    CHECK(Bus.leader()->voters().size() == 3);
    REQUIRE(Bus.commit("after"));
    CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
    Bus.checkAcknowledged();
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A learner gets a snapshot and survives restarts") {
  // Guards against a learner that has to begin anew or votes too early.
  TestCluster Bus(23);
  Bus.Options.SnapshotAfterBytes = 2000;
  Bus.Options.SegmentBytes = 500;
  Bus.Options.SnapshotChunkBytes = 256;
  Bus.startAll();
  for (int Number = 0; Number < 60; ++Number)
    REQUIRE(Bus.commit(std::string(100, 'x') + std::to_string(Number)));
  std::string Lost = others(Bus, Bus.leaderName()).first;
  Bus.loseDisk(Lost);
  REQUIRE(Bus.start(Lost).empty());
  for (int Restart = 0; Restart < 5; ++Restart) {
    Bus.run(200ms);
    Bus.crash(Lost);
    REQUIRE(Bus.start(Lost).empty());
  }
  REQUIRE(Bus.runUntil([&] { return Bus.isVoter(Lost); }));
  REQUIRE(Bus.commit("after"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  Bus.checkAcknowledged();
  CHECK(Bus.violations().empty());
}

TEST_CASE("A learner becomes a voter only when it has caught up") {
  // Guards against a voter that cannot help to commit: the loss of a second VM
  // right after the repair would then block the cluster.
  TestCluster Bus(29);
  Bus.Options.MaxAppendBytes = 1; // One entry in a message, one at a time.
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  for (int Number = 0; Number < 100; ++Number)
    Bus.propose(Bus.leaderName(), std::to_string(Number));
  REQUIRE(Bus.commit("last"));
  std::string Lost = others(Bus, Bus.leaderName()).first;
  Bus.loseDisk(Lost);
  REQUIRE(Bus.start(Lost).empty());
  REQUIRE(Bus.runUntil([&] { return Bus.leader()->voters().size() == 2; }));
  CHECK(Bus.at(Lost).Replica->lastIndex().value() + 20 >
        Bus.leader()->lastIndex().value());
}

TEST_CASE("Two lost disks of five are replaced one after the other") {
  // Guards against changing two voters at a time.
  TestCluster Bus(24, {"a", "b", "c", "d", "e"});
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  Bus.loseDisk("b");
  Bus.loseDisk("d");
  REQUIRE(Bus.start("b").empty());
  REQUIRE(Bus.start("d").empty());
  CHECK(Bus.runUntil([&] { return Bus.isVoter("b") && Bus.isVoter("d"); }));
  CHECK(Bus.leader()->voters().size() == 5);
  REQUIRE(Bus.commit("after"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  CHECK(Bus.violations().empty());
}
