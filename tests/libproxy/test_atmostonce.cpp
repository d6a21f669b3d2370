#include "libproxy/meshfixture.h"
#include "libproxy/stallingrelay.h"

using namespace amaranthward;

namespace {

/// Upstream that leaves requests pending until the test responds to them.
struct PendingUpstream {
  std::vector<std::shared_ptr<ServerExchange>> Held;
  int Aborts = 0;

  HttpServer::Handler handler() {
    return [this](std::shared_ptr<ServerExchange> Exchange) {
      this->Held.push_back(Exchange);
      ServerExchange::Hooks Hooks;
      Hooks.OnAborted = [this] { ++this->Aborts; };
      Exchange->setHooks(std::move(Hooks));
    };
  }
};

} // namespace

// Guards against a second execution of a non-idempotent request after its
// connection stalled (guarantee G9).
TEST_CASE("an order on a connection that stalls runs once") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  Mesh.addGate("v1", answering("other upstream"), "b");
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  auto Order = Mesh.call("POST", "/order", "one");
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 1; }));
  Relay.stallOpenConnections();
  REQUIRE(Mesh.runUntil([&] { return Relay.accepted() == 2; }));
  respond(*Upstream.Held[0], 200, "text/plain", "ordered");
  REQUIRE(Mesh.runUntil([&] { return Order->over(); }));
  CHECK(Order->Status == 200);
  CHECK(Order->Body == "ordered");
  CHECK(Order->Outcome == "answered");
  CHECK(Node.Requests == 1);
  CHECK(Mesh.Gates[1]->Requests == 0);
  CHECK(Upstream.Aborts == 0);
}

TEST_CASE("a response lost on a stalled connection is fetched again") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  auto Order = Mesh.call("POST", "/order", "one");
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 1; }));
  Relay.dropResponses();
  respond(*Upstream.Held[0], 200, "text/plain", "ordered");
  REQUIRE(Mesh.runUntil([&] { return Order->over(); }));
  CHECK(Order->Body == "ordered");
  CHECK(Node.Requests == 1);
}

// Guards against a gap or a repeated part in the body: the entry may have
// delivered a part of it before the connection broke.
TEST_CASE("a response that breaks off is continued without gap or repeat") {
  std::string Long;
  for (int Number = 0; Long.size() < 200000; ++Number)
    Long += std::to_string(Number) + " ";
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering(Long));
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  Relay.cutResponsesAfter(100000);
  auto Order = Mesh.call("POST", "/order", "one");
  REQUIRE(Mesh.runUntil([&] { return Order->Body.size() > 50000; }));
  Relay.cutResponsesAfter(0);
  REQUIRE(Mesh.runUntil([&] { return Order->over(); }));
  CHECK(Order->Ended);
  CHECK(Order->Body == Long);
  CHECK(Node.Requests == 1);
}

TEST_CASE("an order whose gate no longer responds ends as unknown") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  Mesh.addGate("v1", answering("other upstream"), "b");
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  HttpHeaders Headers;
  Headers.add(header::DeadlineMs, "1500");
  auto Order = Mesh.call("POST", "/order", "one", Headers);
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 1; }));
  Relay.stallAllConnections();
  REQUIRE(Mesh.runUntil([&] { return Order->over(); }));
  CHECK(Order->Status == 504);
  CHECK(Order->Outcome == "unknown");
  CHECK(Mesh.Gates[1]->Requests == 0);
}

TEST_CASE("an idempotent call to an unresponsive gate is retried at another "
          "upstream") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  Mesh.addGate("v1", answering("other upstream"), "b");
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  auto Call = Mesh.call("GET", "/browse");
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 1; }));
  Relay.stallAllConnections();
  REQUIRE(Mesh.runUntil([&] { return Call->over(); }));
  CHECK(Call->Body == "other upstream");
}

// Guards against a request that is retried as "not run" and then arrives late
// and runs as well.
TEST_CASE("a request that never arrived is not run and can be retried") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("first"));
  StallingRelay Relay(*Mesh.Loop, Node.Peer->address());
  Node.PeerAddress = Relay.address();
  Mesh.start();
  Mesh.callAndWait("POST", "/order", "opens a connection");
  REQUIRE(Relay.accepted() == 1);
  Relay.stallOpenConnections();
  auto Order = Mesh.callAndWait("POST", "/order", "lost");
  CHECK(Order->Body == "first");
  CHECK(Node.Requests == 2);
  CHECK(Mesh.Entry->counters().Retries == 1);
}

TEST_CASE("a late response never reaches another caller") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  Mesh.start();
  auto First = Mesh.call("POST", "/order", "1");
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 1; }));
  First->Exchange->cancel();
  REQUIRE(Mesh.runUntil([&] { return Node.Gate->inFlightRequests() == 0; }));
  auto Second = Mesh.call("POST", "/order", "2");
  REQUIRE(Mesh.runUntil([&] { return Upstream.Held.size() == 2; }));
  respond(*Upstream.Held[0], 200, "text/plain", "to 1");
  respond(*Upstream.Held[1], 200, "text/plain", "to 2");
  REQUIRE(Mesh.runUntil([&] { return Second->over(); }));
  CHECK(Second->Body == "to 2");
  CHECK_FALSE(First->over());
}

TEST_CASE("a gate of another incarnation refuses requests, and re-attaches are "
          "unknown") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("first"));
  Mesh.start();
  Node.Self.Start = Incarnation(999);
  Mesh.updateEntry();
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Status == 503);
  CHECK(Order->Outcome == "not-run");
  CHECK(Order->Reason == "gate-restarted");
  CHECK(Node.Requests == 0);

  HttpHeaders Headers;
  Headers.add(header::RequestId, "7-1");
  Headers.add(header::Incarnation, "999");
  Headers.add(header::Revision, "1");
  Headers.add(header::DeadlineMs, "1000");
  Headers.add(header::Class, "urgent");
  Headers.add(header::Attach, "1");
  std::string Outcome;
  Mesh.Caller->call(Node.Peer->address(), {"POST", "/order", Headers, 0}, "",
                    std::chrono::seconds(5), 1000,
                    [&](Result<HttpResponse> Response) {
                      REQUIRE(Response);
                      Outcome = Response->Head.Headers.get(header::Outcome);
                    });
  REQUIRE(Mesh.runUntil([&] { return !Outcome.empty(); }));
  CHECK(Outcome == "unknown");
}

TEST_CASE("a repeated request id does not run again") {
  MeshFixture Mesh;
  PendingUpstream Upstream;
  GateNode &Node = Mesh.addGate("v1", Upstream.handler());
  Mesh.start();
  HttpHeaders Headers;
  Headers.add(header::RequestId, "7-1");
  Headers.add(header::Incarnation, std::to_string(Node.Self.Start.value()));
  Headers.add(header::Revision, "1");
  Headers.add(header::Route, "order");
  Headers.add(header::Version, "v1");
  Headers.add(header::DeadlineMs, "5000");
  Headers.add(header::Class, "urgent");
  std::vector<std::string> Bodies;
  for (int Copy = 0; Copy < 2; ++Copy)
    Mesh.Caller->call(Node.Peer->address(), {"POST", "/order", Headers, 0}, "",
                      std::chrono::seconds(5), 1000,
                      [&](Result<HttpResponse> Response) {
                        REQUIRE(Response);
                        Bodies.push_back(Response->Body);
                      });
  REQUIRE(Mesh.runUntil([&] { return !Upstream.Held.empty(); }));
  bool Later = false;
  Mesh.Loop->after(std::chrono::milliseconds(300), [&] { Later = true; });
  REQUIRE(Mesh.runUntil([&] { return Later; }));
  respond(*Upstream.Held[0], 200, "text/plain", "once");
  REQUIRE(Mesh.runUntil([&] { return Bodies.size() == 2; }));
  CHECK(Bodies == std::vector<std::string>{"once", "once"});
  CHECK(Node.Requests == 1);
}
