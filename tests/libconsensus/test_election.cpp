#include "libconsensus/testcluster.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

TEST_CASE("Three empty replicas form a cluster, elect and commit") {
  // Guards against a formation that does not complete.
  TestCluster Bus(1);
  Bus.startAll();
  REQUIRE(Bus.waitForLeader());
  CHECK(Bus.commit("first"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("first"); }));
  CHECK_FALSE(Bus.leader()->clusterId().empty());
  CHECK(Bus.leader()->voters().size() == 3);
  CHECK(Bus.violations().empty());
}

TEST_CASE("A crashed leader is replaced within about a second") {
  // Guards against commits lost and writes blocked by a leader change.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    REQUIRE(Bus.commit("before"));
    std::string Old = Bus.leaderName();
    Bus.crash(Old);
    CHECK(Bus.runUntil([&] { return Bus.leader() != nullptr; }, 3s));
    REQUIRE(Bus.commit("after"));
    CHECK(Bus.start(Old).empty());
    CHECK(Bus.runUntil(
        [&] { return Bus.allHold("before") && Bus.allHold("after"); }));
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("After a restart of everything a leader stands without a time-out") {
  // Guards against an election time-out of nobody's service: when all replicas
  // have just started, there is no leader to wait for.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestCluster Bus(Seed, {"a", "b", "c", "d", "e"});
    Bus.startAll();
    REQUIRE(Bus.commit("before"));
    for (const std::string &Name : Bus.Names)
      Bus.crash(Name);
    for (const std::string &Name : Bus.Names) {
      CHECK(Bus.start(Name).empty());
      Bus.run(60ms);
    }
    CHECK(Bus.runUntil([&] { return Bus.leader() != nullptr; },
                       Bus.Options.ElectionTimeout));
    REQUIRE(Bus.commit("after"));
    CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A replica that starts does not unseat the leader") {
  // Guards against a campaign right after the start that raises the term.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    REQUIRE(Bus.commit("before"));
    std::string Leader = Bus.leaderName();
    Term Reached = Bus.leader()->term();
    std::string Other = Leader == "a" ? "b" : "a";
    for (int Round = 0; Round < 5; ++Round) {
      Bus.crash(Other);
      CHECK(Bus.start(Other).empty());
      Bus.run(400ms);
    }
    CHECK(Bus.leaderName() == Leader);
    CHECK(Bus.leader()->term() == Reached);
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A leader cut off silently steps down and commits nothing") {
  // Guards against two leaders that both answer, and against proposals that
  // are dropped without an outcome.
  TestCluster Bus(3);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Old = Bus.leaderName();
  ConsensusReplica &Replica = *Bus.at(Old).Replica;
  Bus.cut(Old);
  auto Lost = Bus.propose(Old, "lost");
  auto Read = Bus.confirmRead(Old);
  Bus.run(Bus.Options.ElectionTimeout - 20ms);
  CHECK_FALSE(Lost->Settled);
  CHECK_FALSE(Read->Settled);
  Bus.run(50ms);
  CHECK_FALSE(Replica.isLeader());
  REQUIRE(Lost->Settled);
  CHECK((Lost->Value.error().Code == ErrorCode::Unavailable));
  REQUIRE(Read->Settled);
  CHECK((Read->Value.error().Code == ErrorCode::Unavailable));
  auto Refused = Bus.propose(Old, "refused");
  REQUIRE(Refused->Settled);
  CHECK((Refused->Value.error().Code == ErrorCode::Refused));
  REQUIRE(Bus.commit("after"));
  Term Reached = Bus.leader()->term();
  Bus.run(30s);
  Bus.heal();
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  // The long partition must not disturb the leader when it ends.
  CHECK(Bus.leader()->term() == Reached);
  CHECK(Bus.violations().empty());
}

TEST_CASE("A follower that lost contact does not unseat the leader") {
  // Guards against votes granted while a live leader is heard, and against
  // terms raised in a partition.
  TestCluster Bus(4);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  Term Reached = Bus.leader()->term();
  std::string Leader = Bus.leaderName();
  std::string Deaf = Leader == "a" ? "b" : "a";
  Bus.at(Deaf).Refuses = {"append"};
  Bus.run(10s);
  CHECK(Bus.leaderName() == Leader);
  CHECK(Bus.leader()->term() == Reached);
  CHECK(Bus.commit("meanwhile"));
  CHECK(Bus.violations().empty());
}

TEST_CASE("Leadership is transferred at once and nothing is lost") {
  // Guards against a planned stop that costs an election time-out.
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    TestCluster Bus(Seed);
    Bus.startAll();
    REQUIRE(Bus.commit("before"));
    std::string Old = Bus.leaderName();
    auto Racing = Bus.propose(Old, "racing");
    auto Target = Bus.at(Old).Replica->transferLeadership();
    REQUIRE(Target);
    auto Refused = Bus.propose(Old, "refused");
    REQUIRE(Refused->Settled);
    CHECK((Refused->Value.error().Code == ErrorCode::Refused));
    CHECK(
        Bus.runUntil([&] { return Bus.leaderName() == Target->str(); }, 200ms));
    REQUIRE(Racing->Settled);
    REQUIRE(Bus.commit("after"));
    CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
    CHECK_FALSE(Bus.allHold("refused"));
    CHECK(Bus.violations().empty());
  }
}

TEST_CASE("A transfer to a dead replica is given up") {
  // Guards against a leader that refuses proposals for ever.
  TestCluster Bus(5);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  auto Target = Bus.leader()->transferLeadership();
  REQUIRE(Target);
  Bus.crash(Target->str());
  CHECK(Bus.commit("after"));
  CHECK(Bus.violations().empty());
}

TEST_CASE("Reads are confirmed by a majority heard after the request") {
  // Guards against a deposed leader that answers reads from old heartbeats.
  TestCluster Bus(6);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  auto Read = Bus.confirmRead(Bus.leaderName());
  CHECK(Bus.runUntil([&] { return Read->Settled; }, 100ms));
  REQUIRE(Read->Value);
  CHECK(*Read->Value == Bus.leader()->commitIndex());
  std::string Leader = Bus.leaderName();
  for (const std::string &Name : Bus.Names)
    if (Name != Leader)
      Bus.at(Name).Refuses = {"append"};
  auto Unheard = Bus.confirmRead(Leader);
  Bus.run(200ms);
  CHECK(Bus.at(Leader).Replica->isLeader());
  CHECK_FALSE(Unheard->Settled);
}

TEST_CASE("Malformed messages are ignored") {
  // Guards against a crash or a change of state by bad input.
  TestCluster Bus(7);
  Bus.startAll();
  REQUIRE(Bus.commit("before"));
  std::string Leader = Bus.leaderName();
  std::string Other = Leader == "a" ? "b" : "a";
  ConsensusReplica &Target = *Bus.at(Other).Replica;
  Json Envelope = {{"from", Bus.leader()->identity().str()},
                   {"to", Target.identity().str()},
                   {"cluster", Target.clusterId().str()},
                   {"term", Target.term().value()}};
  std::vector<Json> Values = {nullptr,        -1,   1e300,
                              "text",         true, Json::array({1}),
                              Json::object(), ~0ULL};
  Json Entry = {{"index", 1U}, {"term", 1U}, {"type", 9U}, {"payload", "?"}};
  Term Before = Target.term();
  for (const char *Type :
       {"append", "append_reply", "snapshot", "snapshot_reply", "vote_reply",
        "prevote", "prevote_reply", "hello", "form", "unknown"})
    for (const char *Field :
         {"entries", "prev_index", "prev_term", "commit", "match", "hint",
          "last", "last_term", "offset", "data", "voters", "record", "heard"})
      for (const Json &Value : Values) {
        Json Message = Envelope;
        Message["type"] = Type;
        Message["entries"] = Json::array({Entry});
        Message[Field] = Value;
        Target.receive(ReplicaName(Leader), Message);
      }
  for (const Json &Value : Values)
    Target.receive(ReplicaName(Leader), Value);
  Target.receive(ReplicaName("stranger"), Envelope);
  CHECK(Target.term() == Before);
  CHECK(Bus.commit("after"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("after"); }));
  CHECK(Bus.violations().empty());
}
