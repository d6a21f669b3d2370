#include "libdistribution/syncclient.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  explicit Fixture(const std::vector<ParentCandidate> &Witnesses = {}) {
    this->Source.Cluster = ClusterId("c1");
    Member Self;
    Self.Node = NodeName("n");
    Self.Zone = ZoneName("z");
    SyncClientHooks Hooks;
    Hooks.Random = seededRandom(3);
    Hooks.Send = [this](const Endpoint &To, const SyncRequest &Request) {
      this->Targets.push_back(To);
      this->Requests.push_back(Request);
    };
    Hooks.CheckChanges =
        [this](const std::vector<ResourceUpdate> &Changes) -> Result<void> {
      ResourceMap All = this->State.Replicated.resources();
      for (const ResourceUpdate &Change : Changes)
        if (Change.Value)
          All[std::string(Change.Key)] = *Change.Value;
        else
          All.erase(std::string(Change.Key));
      if (All.contains("route/r") && !All.contains("service/s"))
        return fail(ErrorCode::InvalidArgument, "route r has no service");
      return {};
    };
    Hooks.OnChanged = [this](bool, bool) { ++this->Changes; };
    this->Client = *SyncClient::create(this->State, Self,
                                       {Endpoint("c:1"), Endpoint("c:2")},
                                       Witnesses, {}, std::move(Hooks));
    this->Client->start(this->Now);
  }
  void change(std::vector<ResourceChange> Resources, std::uint64_t Number) {
    REQUIRE(this->Source.Replicated
                .apply(Resources, TableVersion::of(Revision(Number)))
                .has_value());
  }
  /// Builds the response of the source to the latest request.
  SyncResponse answer() {
    const SyncRequest &Request = this->Requests.back();
    SyncResponse Response;
    Response.Sequence = Request.Sequence;
    Response.Cluster = this->Source.Cluster;
    Response.InForce = this->Source.inForce();
    if (Response.InForce > Request.InForce)
      Response.ReplicatedChunk = this->Source.Replicated.read(
          TableVersion::of(Request.InForce), 65536);
    return Response;
  }

  /// Fails the latest request and lets the client send the next one.
  void failLatest() {
    this->Client->onFailure(this->Requests.back().Sequence, this->Now);
    this->Now += 100ms;
    this->Client->tick(this->Now);
  }

  Instant Now{10s};
  DistributedState Source = *DistributedState::create();
  DistributedState State = *DistributedState::create();
  std::unique_ptr<SyncClient> Client;
  std::vector<Endpoint> Targets;
  std::vector<SyncRequest> Requests;
  int Changes = 0;
};

} // namespace

TEST_CASE("Duplicated and reordered responses change nothing") {
  // Guards against old state that replaces newer state when it arrives late.
  Fixture F;
  F.change({{"a", 1U}}, 1);
  const SyncResponse First = F.answer();
  F.Client->onResponse(First, F.Now);
  CHECK(F.State.inForce() == Revision(1));
  F.change({{"a", 2U}}, 2);
  F.Client->onResponse(F.answer(), F.Now);
  CHECK(F.State.inForce() == Revision(2));
  SyncResponse Late = First;
  F.Client->onResponse(Late, F.Now);
  Late.Sequence = F.Requests.back().Sequence;
  F.Client->onResponse(Late, F.Now);
  CHECK(F.State.inForce() == Revision(2));
  CHECK(*F.State.Replicated.find("a") == Json(2U));
  CHECK(F.Changes == 2);
  CHECK_FALSE(F.Client->refusal().has_value());
}

TEST_CASE("A failed reference check keeps the old state and is reported") {
  // Guards against a revision that is applied in part.
  Fixture F;
  F.change({{"service/s", 1U}, {"route/r", 1U}}, 1);
  F.Client->onResponse(F.answer(), F.Now);
  const ResourceMap Before = F.State.Replicated.resources();
  F.change({{"service/s", {}}, {"route/q", 1U}}, 2);
  F.Client->onResponse(F.answer(), F.Now);
  CHECK(F.State.Replicated.resources() == Before);
  CHECK(F.State.inForce() == Revision(1));
  const SyncRequest &Next = F.Requests.back();
  CHECK(Next.InForce == Revision(1));
  CHECK(Next.Refused == Revision(2));
  REQUIRE(Next.Uplink.refusals().size() == 1);
  CHECK(Next.Uplink.renewals().begin()->second.InForce == Revision(1));
  F.change({{"service/s", 2U}}, 3);
  F.Client->onResponse(F.answer(), F.Now);
  CHECK(F.State.inForce() == Revision(3));
  CHECK_FALSE(F.Client->refusal().has_value());
}

TEST_CASE("State of a different cluster id is not applied") {
  Fixture F;
  F.change({{"a", 1U}}, 1);
  F.Client->onResponse(F.answer(), F.Now);
  F.Source.Cluster = ClusterId("c2");
  F.change({{"a", 2U}}, 2);
  F.Client->onResponse(F.answer(), F.Now);
  CHECK(F.State.Cluster == ClusterId("c1"));
  CHECK(*F.State.Replicated.find("a") == Json(1U));
  CHECK(F.Client->refusal().has_value());
}

TEST_CASE("A request without an answer fails after hold time and margin") {
  // Guards against waiting forever on a connection without traffic.
  Fixture F;
  F.Now += 1999ms;
  F.Client->tick(F.Now);
  CHECK(F.Requests.size() == 1);
  F.Now += 1ms;
  F.Client->tick(F.Now);
  REQUIRE(F.Client->nextDeadline().has_value());
  CHECK(*F.Client->nextDeadline() <= F.Now + 50ms);
  F.Now += 50ms;
  F.Client->tick(F.Now);
  REQUIRE(F.Targets.size() == 2);
  CHECK(F.Targets[0] != F.Targets[1]);
}

TEST_CASE("The client follows a bounded number of redirects to the leader") {
  Fixture F;
  F.Client->onRedirect(F.Requests.back().Sequence, Endpoint("c:2"), F.Now);
  CHECK(F.Targets.back() == Endpoint("c:2"));
  // Replicas that redirect to each other must not cause a tight loop.
  for (int Times = 0; Times < 10; ++Times)
    F.Client->onRedirect(F.Requests.back().Sequence,
                         Endpoint(Times % 2 ? "c:1" : "c:2"), F.Now);
  CHECK(F.Requests.size() <= 5);
}

TEST_CASE("Repeated failures back off up to a maximum") {
  Fixture F;
  std::size_t Sent = 0;
  for (; F.Now < Instant(70s); F.Now += 10ms) {
    F.Client->tick(F.Now);
    if (F.Requests.size() > Sent)
      F.Client->onFailure(F.Requests.back().Sequence, F.Now);
    Sent = F.Requests.size();
  }
  CHECK(Sent > 20);
  CHECK(Sent < 90);
}

TEST_CASE("Reports of children are sent again after a failed request") {
  // Guards against losing an announcement when a parent fails.
  Fixture F;
  UplinkBatch Batch;
  Announcement One;
  One.Announced.Node = NodeName("child");
  One.Announced.Leaving = true;
  Batch.announce(One);
  Batch.renew(SessionId(9), Revision(), F.Now);
  F.Now += 1s;
  F.Client->addUplink(Batch, Urgency::Immediate, F.Now);
  REQUIRE(F.Requests.size() == 2);
  CHECK(F.Requests.back().Uplink.announcements().contains(NodeName("child")));
  F.Client->onFailure(F.Requests.back().Sequence, F.Now);
  F.Now += 50ms;
  F.Client->tick(F.Now);
  REQUIRE(F.Requests.size() == 3);
  CHECK(F.Requests.back().Uplink.announcements().contains(NodeName("child")));
  CHECK(F.Requests.back().Uplink.renewals().contains(SessionId(9)));
  // An old renewal must not extend the session of a stopped node.
  F.Client->onFailure(F.Requests.back().Sequence, F.Now);
  F.Now += 5s;
  F.Client->tick(F.Now);
  CHECK_FALSE(F.Requests.back().Uplink.renewals().contains(SessionId(9)));
}

TEST_CASE(
    "A parent that answers at once without changes is not polled in a loop") {
  Fixture F;
  for (int Times = 0; Times < 10; ++Times)
    F.Client->onResponse(F.answer(), F.Now);
  CHECK(F.Requests.size() == 1);
}

TEST_CASE("Frequent reports do not postpone the answer timeout") {
  // Guards against a node that stays with a leader that does not answer for as
  // long as a move is open, because each report restarted the answer timeout.
  Fixture F;
  F.Client->onResponse(F.answer(), F.Now);
  const std::size_t Before = F.Requests.size();
  const Endpoint Parent = F.Targets.back();
  const Instant LastAnswerAt = F.Now;
  for (std::uint64_t Calls = 0; F.Now < LastAnswerAt + 4s; ++Calls) {
    F.Now += 10ms;
    F.Client->observe(Json{{"calls", Calls}});
    F.Client->reportSoon(F.Now);
    F.Client->tick(F.Now);
  }
  REQUIRE(F.Requests.size() > Before);
  CHECK(std::any_of(F.Targets.begin() + std::ptrdiff_t(Before), F.Targets.end(),
                    [&Parent](const Endpoint &One) { return One != Parent; }));
}

TEST_CASE("Reports do not replace the request whose chunks are on their way") {
  // Guards against chunks that are dropped and sent again while nodes report.
  Fixture F;
  F.change({{"a", 1U}}, 1);
  const SyncResponse Slow = F.answer();
  for (std::uint64_t Calls = 0; Calls < 30; ++Calls) {
    F.Now += 50ms;
    F.Client->observe(Json{{"calls", Calls}});
    F.Client->reportSoon(F.Now);
    F.Client->tick(F.Now);
  }
  REQUIRE(F.Requests.size() > 5);
  F.Client->onResponse(Slow, F.Now);
  CHECK(F.State.inForce() == Revision(1));
}

TEST_CASE("A response that still arrives is not taken for silence") {
  // Guards against a slow transfer that begins again at another parent.
  Fixture F;
  F.change({{"a", 1U}}, 1);
  const SyncResponse Slow = F.answer();
  for (int Step = 0; Step < 40; ++Step) {
    F.Now += 100ms;
    F.Client->onProgress(Slow.Sequence, F.Now);
    F.Client->tick(F.Now);
  }
  CHECK(F.Requests.size() == 1);
  F.Client->onResponse(Slow, F.Now);
  CHECK(F.State.inForce() == Revision(1));
}

TEST_CASE("A parent that answers only reports is left") {
  // Guards against a silent connection to a parent that answers on others.
  Fixture F;
  F.Client->onResponse(F.answer(), F.Now);
  const Endpoint Parent = F.Targets.back();
  const Instant StartedAt = F.Now;
  bool Left = false;
  for (std::uint64_t Calls = 0; F.Now < StartedAt + 3s; ++Calls) {
    F.Now += 50ms;
    F.Client->observe(Json{{"calls", Calls}});
    F.Client->reportSoon(F.Now);
    F.Client->tick(F.Now);
    Left = Left || F.Targets.back() != Parent;
    if (F.Requests.back().ReportOnly)
      F.Client->onResponse(F.answer(), F.Now);
  }
  CHECK(Left);
}

TEST_CASE("A report that failed is sent again") {
  Fixture F;
  F.Now += 100ms;
  UplinkBatch Batch;
  Batch.renew(SessionId(9), Revision(1), F.Now);
  F.Client->addUplink(Batch, Urgency::Immediate, F.Now);
  REQUIRE(F.Requests.back().ReportOnly);
  const std::size_t Sent = F.Requests.size();
  F.Client->onFailure(F.Requests.back().Sequence, F.Now);
  F.Now += 100ms;
  F.Client->tick(F.Now);
  REQUIRE(F.Requests.size() == Sent + 1);
  CHECK(F.Requests.back().Uplink.renewals().contains(SessionId(9)));
}

TEST_CASE("setControl replaces the control replicas") {
  // Guards against a node that knows only replicas that no longer exist.
  Fixture F;
  F.Client->setControl({Endpoint("c:3"), Endpoint("c:4")});
  F.Client->onFailure(F.Requests.back().Sequence, F.Now);
  F.Now += 5s;
  F.Client->tick(F.Now);
  CHECK((F.Targets.back() == Endpoint("c:3") ||
         F.Targets.back() == Endpoint("c:4")));
}

TEST_CASE("Frequent reports do not keep a root with another root as parent") {
  // Guards against two roots of a zone that only ask each other.
  Fixture F({{NodeName("w"), Endpoint("w:1")}});
  F.failLatest();
  F.failLatest();
  REQUIRE(F.Targets.back() == Endpoint("w:1"));
  for (Instant End = F.Now + 1s;
       F.Now < End && F.Targets.back() == Endpoint("w:1"); F.Now += 10ms) {
    F.Client->observe(Json(F.Now.time_since_epoch().count()));
    F.Client->reportSoon(F.Now);
    F.Client->tick(F.Now);
    if ((End - F.Now) % 250ms != 0ms)
      continue;
    SyncResponse Empty;
    Empty.Sequence = F.Requests.back().Sequence;
    F.Client->onResponse(Empty, F.Now);
  }
  CHECK(F.Targets.back() != Endpoint("w:1"));
}

TEST_CASE(
    "All replicas are retried after a leader found without a hint fails") {
  // Guards against a root that skips the replicas before the failed leader in
  // its order and asks another root, which has lost the same leader.
  Fixture F({{NodeName("w"), Endpoint("w:1")}});
  F.failLatest();
  REQUIRE(F.Targets.back() == Endpoint("c:2"));
  F.change({{"a", 1U}}, 1);
  F.Client->onResponse(F.answer(), F.Now);
  REQUIRE(F.Targets.back() == Endpoint("c:2"));
  F.failLatest();
  CHECK(F.Targets.back() == Endpoint("c:1"));
}
