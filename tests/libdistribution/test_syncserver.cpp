#include "libdistribution/syncserver.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  explicit Fixture(SyncServerOptions Options = {}, SyncServerHooks Hooks = {}) {
    this->State.Cluster = ClusterId("c1");
    this->change(1);
    Hooks.Random = seededRandom(1);
    this->Server = *SyncServer::create(this->State, Options, Hooks);
  }
  void change(std::uint64_t Number) {
    REQUIRE(this->State.Replicated
                .apply({{"set", Json{{"v", Number}}}},
                       TableVersion::of(Revision(Number)))
                .has_value());
  }
  SyncRequest makeRequest(const std::string &Name, std::uint64_t InForce) {
    SyncRequest Request;
    Request.Node = NodeName(Name);
    Request.Sequence = ++this->Sequence;
    Request.Cluster = ClusterId("c1");
    Request.InForce = Revision(InForce);
    Request.Members = this->State.Members.current();
    return Request;
  }
  std::size_t ask(const SyncRequest &Request) {
    this->Server->handle(Request, this->Now,
                         [this](const SyncResponse &Answer) {
                           this->Answers.push_back(Answer);
                         });
    return this->Answers.size();
  }

  Instant Now{10s};
  DistributedState State = *DistributedState::create();
  std::unique_ptr<SyncServer> Server;
  std::vector<SyncResponse> Answers;
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_CASE("An update is sent at once and a change completes parked requests") {
  Fixture F;
  CHECK(F.ask(F.makeRequest("a", 0)) == 1);
  CHECK(F.Answers.back().ReplicatedChunk.has_value());
  CHECK(F.ask(F.makeRequest("a", 1)) == 1);
  F.change(2);
  F.Server->wake(F.Now);
  REQUIRE(F.Answers.size() == 2);
  CHECK(F.Answers.back().InForce == Revision(2));
}

TEST_CASE("A request without an update is answered after the hold time") {
  Fixture F;
  F.ask(F.makeRequest("a", 1));
  REQUIRE(F.Server->nextDeadline() == F.Now + 1s);
  F.Now += 999ms;
  F.Server->tick(F.Now);
  CHECK(F.Answers.empty());
  F.Now += 1ms;
  F.Server->tick(F.Now);
  REQUIRE(F.Answers.size() == 1);
  CHECK_FALSE(F.Answers.back().ReplicatedChunk.has_value());
  CHECK(F.Server->parked() == 0);
}

TEST_CASE("A second request of a child completes its parked request") {
  // Guards against a child with two parked requests and against a request that
  // is never answered.
  Fixture F;
  F.ask(F.makeRequest("a", 1));
  CHECK(F.ask(F.makeRequest("a", 1)) == 1);
  CHECK(F.Answers.back().Sequence == 1);
  CHECK(F.Server->parked() == 1);
  F.Server->abandon(NodeName("a"), 1);
  CHECK(F.Server->parked() == 1);
  F.Server->abandon(NodeName("a"), 2);
  CHECK(F.Server->parked() == 0);
}

TEST_CASE("A report is answered at once and leaves the parked request") {
  // Guards against a report that ends the wait for the next revision.
  Fixture F;
  F.ask(F.makeRequest("a", 1));
  SyncRequest Report = F.makeRequest("a", 1);
  Report.ReportOnly = true;
  Report.Uplink.renew(SessionId(4), Revision(1), F.Now);
  REQUIRE(F.ask(Report) == 1);
  CHECK(F.Answers.back().Sequence == Report.Sequence);
  CHECK(F.Server->parked() == 1);
  CHECK(F.Server->takeUplink().renewals().contains(SessionId(4)));
  F.change(2);
  F.Server->wake(F.Now);
  REQUIRE(F.Answers.size() == 2);
  CHECK(F.Answers.back().Sequence == 1);
  CHECK(F.Answers.back().ReplicatedChunk.has_value());
}

TEST_CASE("Children that need the same chunk share one encoding") {
  // Guards against a relay that encodes the same change once for each child.
  Fixture F;
  for (const char *Name : {"a", "b", "c"}) {
    SyncRequest Request = F.makeRequest(Name, 0);
    Request.TakesCompressed = true;
    F.ask(Request);
  }
  REQUIRE(F.Answers.size() == 3);
  REQUIRE(F.Answers[0].CompressedReplicatedChunk);
  CHECK_FALSE(F.Answers[0].ReplicatedChunk.has_value());
  CHECK(F.Answers[0].CompressedReplicatedChunk ==
        F.Answers[2].CompressedReplicatedChunk);
  F.change(2);
  SyncRequest Later = F.makeRequest("a", 1);
  Later.TakesCompressed = true;
  F.ask(Later);
  auto Decoded =
      decodeSyncResponse(encodeSyncResponse(F.Answers.back()), 1 << 20);
  REQUIRE(Decoded.has_value());
  REQUIRE(Decoded->ReplicatedChunk.has_value());
  CHECK(Decoded->ReplicatedChunk->Current.revision() == Revision(2));
}

TEST_CASE("A child that is ahead or refused the revision gets no update") {
  // Guards against a child that returns to an older revision, and against a
  // tight loop of transfers that the child refuses each time.
  Fixture F;
  CHECK(F.ask(F.makeRequest("ahead", 5)) == 0);
  SyncRequest Refusing = F.makeRequest("refusing", 0);
  Refusing.Refused = Revision(1);
  CHECK(F.ask(Refusing) == 0);
  SyncRequest Foreign = F.makeRequest("foreign", 0);
  Foreign.Cluster = ClusterId("c2");
  CHECK(F.ask(Foreign) == 0);
  F.Now += 1s;
  F.Server->tick(F.Now);
  REQUIRE(F.Answers.size() == 3);
  for (const SyncResponse &Answer : F.Answers)
    CHECK_FALSE(Answer.ReplicatedChunk.has_value());
}

TEST_CASE("A relay without state holds the request") {
  Fixture F;
  F.State = *DistributedState::create();
  SyncRequest Request = F.makeRequest("a", 0);
  Request.Cluster = ClusterId();
  CHECK(F.ask(Request) == 0);
}

TEST_CASE("New children are admitted at a bounded rate") {
  // Guards against a reconnect storm that overloads the parent.
  SyncServerOptions Options;
  Options.Joins.JoinsPerSecond = 10;
  Fixture F(Options);
  std::map<std::string, Instant> Due;
  for (int Number = 0; Number < 100; ++Number)
    Due["n" + std::to_string(Number)] = F.Now;
  std::map<Instant, int> AdmittedAt;
  while (!Due.empty() && F.Now < Instant(60s)) {
    for (auto It = Due.begin(); It != Due.end();) {
      if (It->second > F.Now) {
        ++It;
        continue;
      }
      F.ask(F.makeRequest(It->first, 0));
      if (F.Answers.back().RetryAfter) {
        It->second = F.Now + *F.Answers.back().RetryAfter;
        ++It;
      } else {
        ++AdmittedAt[F.Now - (F.Now - Instant(10s)) % 1s];
        It = Due.erase(It);
      }
    }
    F.Now += 10ms;
  }
  CHECK(Due.empty());
  for (const auto &[Second, Count] : AdmittedAt)
    CHECK(Count <= 10);
  CHECK(F.Now < Instant(30s));
}

TEST_CASE("The join limit does not apply to known children") {
  SyncServerOptions Options;
  Options.Joins.JoinsPerSecond = 1;
  Fixture F(Options);
  for (int Times = 0; Times < 5; ++Times)
    F.ask(F.makeRequest("a", 0));
  for (const SyncResponse &Answer : F.Answers)
    CHECK_FALSE(Answer.RetryAfter.has_value());
  F.ask(F.makeRequest("b", 0));
  CHECK(F.Answers.back().RetryAfter.has_value());
}

TEST_CASE("Member changes are batched unless they are urgent") {
  // Guards against one message to every child for each join in a mass restart.
  Fixture F;
  F.Now = Instant(20s);
  auto Publish = [&F](std::uint64_t Number) {
    REQUIRE(
        F.State.Members.apply({{"member/x", Json{{"i", Number}}}}, {1, Number})
            .has_value());
  };
  SyncRequest Request = F.makeRequest("a", 1);
  F.ask(Request);
  Publish(1);
  F.Server->wake(F.Now);
  CHECK(F.Answers.size() == 1);
  Request.Members = {1, 1};
  F.ask(Request);
  Publish(2);
  F.Server->wake(F.Now);
  CHECK(F.Answers.size() == 1);
  F.Server->tick(F.Now + 100ms);
  CHECK(F.Answers.size() == 2);
  Request.Members = {1, 2};
  F.ask(Request);
  Publish(3);
  F.Server->wakeAll(F.Now + 101ms);
  CHECK(F.Answers.size() == 3);
}

TEST_CASE("A confirmation must be from a round after the request arrived") {
  // Guards against a replaced leader that still confirms to restarted nodes.
  Instant Round{9s};
  SyncServerHooks Hooks;
  Hooks.ConfirmedSince = [&Round](Instant Since) -> std::optional<Revision> {
    return Round >= Since ? std::optional(Revision(1)) : std::nullopt;
  };
  Fixture F({}, Hooks);
  SyncRequest Request = F.makeRequest("a", 0);
  Request.WantsConfirmation = true;
  CHECK(F.ask(Request) == 0);
  Round = F.Now + 50ms;
  F.Server->wake(F.Now + 60ms);
  REQUIRE(F.Answers.size() == 1);
  CHECK(F.Answers.back().Confirmed == Revision(1));
}

TEST_CASE("Reports of children are collected and their urgency is passed on") {
  std::vector<Urgency> Urgencies;
  SyncServerHooks Hooks;
  Hooks.OnUplink = [&Urgencies](Urgency BatchUrgency) {
    Urgencies.push_back(BatchUrgency);
  };
  Fixture F({}, Hooks);
  SyncRequest Request = F.makeRequest("a", 1);
  Request.Uplink.renew(SessionId(1), Revision(1), F.Now);
  F.ask(Request);
  F.ask(Request);
  Request.Uplink.observe({NodeName("a"), Incarnation(1), Json()});
  F.ask(Request);
  Announcement Leaving;
  Leaving.Announced.Node = NodeName("a");
  Leaving.Announced.Leaving = true;
  Request.Uplink.announce(Leaving);
  F.ask(Request);
  CHECK(Urgencies == std::vector<Urgency>{Urgency::Soon, Urgency::None,
                                          Urgency::Later, Urgency::Immediate});
  CHECK(F.Server->takeUplink().announcements().size() == 1);
  CHECK(F.Server->takeUplink().empty());
}
