#include "libproxy/meshfixture.h"

using namespace amaranthward;

namespace {

HttpServer::Handler failing(int Status) {
  return [Status](std::shared_ptr<ServerExchange> Exchange) {
    respond(*Exchange, Status, "text/plain", "failed");
  };
}

} // namespace

TEST_CASE("an idempotent call that fails is retried at another upstream") {
  MeshFixture Mesh;
  Mesh.addGate("v1", failing(500));
  Mesh.addGate("v1", answering("good"), "b");
  Mesh.start();
  auto Call = Mesh.callAndWait("POST", "/browse", "kept body");
  CHECK(Call->Body == "good");
  CHECK(Mesh.Gates[0]->Requests == 1);
  CHECK(Mesh.Gates[1]->Requests == 1);
}

// Guards against a non-idempotent request that runs twice (guarantee G9).
TEST_CASE("an order that fails is never retried") {
  MeshFixture Mesh;
  Mesh.addGate("v1", failing(500));
  Mesh.addGate("v1", answering("good"), "b");
  Mesh.start();
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Status == 500);
  CHECK(Order->Outcome == "answered");
  CHECK(Mesh.Gates[1]->Requests == 0);
}

TEST_CASE("an order that was not run is retried at another upstream") {
  MeshFixture Mesh;
  GateNode &Near = Mesh.addGate("v1", answering("near"));
  Mesh.addGate("v1", answering("far"), "b");
  Mesh.start();
  SUBCASE("gate stopped") { Near.Peer.reset(); }
  SUBCASE("gate draining") { Near.Gate->drain(); }
  SUBCASE("upstream stopped") { Near.Upstream.reset(); }
  SUBCASE("gate restarted") {
    Near.Self.Start = Incarnation(999);
    Mesh.updateEntry();
  }
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Body == "far");
  CHECK(Near.Requests == 0);
}

TEST_CASE("a call that every gate refuses is refused at once") {
  // Guards against asking full gates again: each round moves bytes between
  // zones, and delays the Retry-After that the caller gets.
  MeshFixture Mesh;
  std::vector<std::shared_ptr<ServerExchange>> Held;
  auto Holding = [&](auto Exchange) { Held.push_back(Exchange); };
  Mesh.addGate("v1", Holding, "a", 1);
  Mesh.addGate("v1", Holding, "b", 1);
  Mesh.Configuration.Set.Services[0].Limits.Queue = 0;
  Mesh.start();
  auto First = Mesh.call("GET", "/browse");
  auto Second = Mesh.call("GET", "/browse");
  REQUIRE(Mesh.runUntil([&] { return Held.size() == 2; }));
  auto Before = Mesh.Entry->counters().Attempts;
  auto Third = Mesh.callAndWait("GET", "/browse");
  CHECK(Third->Status == 503);
  CHECK(Third->Reason == "queue-full");
  CHECK(Mesh.Entry->counters().Attempts - Before == 2);
}

TEST_CASE("retries stay within the budget") {
  MeshFixture Mesh;
  Mesh.addGate("v1", failing(500));
  Mesh.addGate("v1", failing(500), "b");
  Mesh.start();
  for (int Number = 0; Number < 100; ++Number)
    Mesh.callAndWait("GET", "/browse");
  // 10% of the calls plus the initial tokens of the budget.
  CHECK(Mesh.Entry->counters().Retries <= 12);
  CHECK(Mesh.Entry->counters().Retries >= 5);
}

TEST_CASE("an idempotent call that fails on a candidate runs on the baseline") {
  MeshFixture Mesh;
  Mesh.Configuration.MoveOpen = true;
  Mesh.Configuration.ShareOfV2 = Share::Whole;
  Mesh.addGate("v1", answering("baseline"));
  Mesh.addGate("v2", failing(500));
  Mesh.start();
  for (int Number = 0; Number < 40; ++Number)
    CHECK(Mesh.callAndWait("GET", "/browse")->Body == "baseline");
  CHECK(Mesh.Entry->counters().BaselineRetries == 40);
}

// Guards against calls to a version marked bad, and against a limited version
// that exceeds its limit (guarantee G4).
TEST_CASE("the version draw follows the split, the bad marks and the limits") {
  MeshSet Configuration;
  Configuration.MoveOpen = true;
  Configuration.ShareOfV2 = 3000;
  ServiceName Service("shop");
  VersionName V2("v2");
  RandomFunction Random = seededRandom(3);
  auto ShareOf = [&](const ShareLimits &Limits) {
    auto View = Configuration.view();
    int Count = 0;
    for (int Number = 0; Number < 20000; ++Number)
      Count +=
          drawVersions(*View, Service, Limits, Random()).front() == V2 ? 1 : 0;
    return Count;
  };
  CHECK(ShareOf({}) == doctest::Approx(6000).epsilon(0.1));
  CHECK(ShareOf({{{Service, V2}, Share(100)}}) ==
        doctest::Approx(200).epsilon(0.3));
  CHECK(ShareOf({{{Service, V2}, Share::none()}}) == 0);
  Configuration.V2Bad = true;
  CHECK(ShareOf({}) == 0);
}

TEST_CASE("a candidate never takes the calls of a baseline without upstreams") {
  MeshFixture Mesh;
  Mesh.Configuration.MoveOpen = true;
  Mesh.Configuration.ShareOfV2 = 100;
  Mesh.addGate("v2", answering("candidate"));
  Mesh.start();
  int Candidate = 0;
  for (int Number = 0; Number < 200; ++Number)
    Candidate += Mesh.callAndWait("GET", "/browse")->Status == 200 ? 1 : 0;
  CHECK(Candidate < 20);
}

// Guards against requests from an entry that has not received the update yet
// (guarantees G4 and G6).
TEST_CASE("a gate refuses requests for a version or zone out of service") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v2", answering("ran"));
  Mesh.Configuration.ShareOfV2 = Share::Whole;
  Mesh.start();
  CHECK(Mesh.callAndWait("POST", "/order", "1")->Body == "ran");
  Mesh.Applied = Mesh.Applied.next();
  std::string Reason;
  SUBCASE("version without share") {
    Mesh.Configuration.ShareOfV2 = 0;
    Reason = "version-out";
  }
  SUBCASE("bad version") {
    Mesh.Configuration.V2Bad = true;
    Reason = "version-out";
  }
  SUBCASE("zone") {
    Mesh.Configuration.ZoneAOutOfService = true;
    Reason = "zone-out";
  }
  Mesh.updateGates();
  auto Order = Mesh.callAndWait("POST", "/order", "2");
  CHECK(Order->Status == 503);
  CHECK(Order->Outcome == "not-run");
  CHECK(Order->Reason == Reason);
  CHECK(Node.Requests == 1);
}

TEST_CASE("a drained gate refuses new requests and completes running ones") {
  MeshFixture Mesh;
  std::shared_ptr<ServerExchange> Held;
  GateNode &Node = Mesh.addGate("v1", [&](auto Exchange) { Held = Exchange; });
  Mesh.start();
  auto First = Mesh.call("POST", "/order", "1");
  REQUIRE(Mesh.runUntil([&] { return Held != nullptr; }));
  Node.Gate->drain();
  Mesh.Listener->drain();
  CHECK(Node.Gate->inFlightRequests() == 1);
  respond(*Held, 200, "text/plain", "finished");
  REQUIRE(Mesh.runUntil([&] { return First->over(); }));
  CHECK(First->Body == "finished");
  CHECK(Node.Gate->inFlightRequests() == 0);
  CHECK(Mesh.runUntil([&] { return Mesh.Listener->connections() == 0; }));
}

TEST_CASE("an upstream that stops announcing itself is withdrawn") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("ok"));
  CHECK(Node.Gate->upstream());
  CHECK(Mesh.runUntil([&] { return !Node.Gate->upstream(); }));
}

TEST_CASE("a claim decides on a keyed order") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("ran"));
  ClaimAnswer Next;
  std::vector<ClaimRequest> Asked;
  Mesh.Hooks.Claim = [&](const ClaimRequest &Request, auto OnAnswer) {
    Asked.push_back(Request);
    Mesh.Loop->post([OnAnswer, &Next] { OnAnswer(Next); });
  };
  Mesh.start();
  HttpHeaders Headers;
  Headers.add(header::IdempotencyKey, "k1");
  Next.Verdict = ClaimAnswer::Kind::Granted;
  CHECK(Mesh.callAndWait("POST", "/order", "1", Headers)->Body == "ran");
  REQUIRE(Asked.size() == 1);
  CHECK(Asked[0].Key == "k1");
  Next.Verdict = ClaimAnswer::Kind::Attach;
  Next.Id = Asked[0].Id;
  Next.Gate = Asked[0].Gate;
  CHECK(Mesh.callAndWait("POST", "/order", "1", Headers)->Body == "ran");
  Next.Id.Sequence += 1000;
  CHECK(Mesh.callAndWait("POST", "/order", "1", Headers)->Outcome == "unknown");
  Next.Verdict = ClaimAnswer::Kind::Unknown;
  CHECK(Mesh.callAndWait("POST", "/order", "1", Headers)->Outcome == "unknown");
  CHECK(Node.Requests == 1);
}
