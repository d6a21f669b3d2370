#include "libproxy/meshfixture.h"
#include "libproxy/stallingrelay.h"

#include <thread>

using namespace amaranthward;

namespace {

/// Closes the connection without a response once \a Bytes of the request body
/// have arrived.
HttpServer::Handler breaking(std::size_t Bytes) {
  return [Bytes](std::shared_ptr<ServerExchange> Exchange) {
    auto Seen = std::make_shared<std::size_t>(0);
    ServerExchange::Hooks Hooks;
    Hooks.OnBody = [Exchange, Seen, Bytes](std::string_view Data) {
      *Seen += Data.size();
      if (*Seen >= Bytes)
        Exchange->abort();
    };
    Hooks.OnBodyEnd = [Exchange] { Exchange->abort(); };
    Exchange->setHooks(std::move(Hooks));
  };
}

/// Declares a longer body than it sends, and closes the connection.
HttpServer::Handler truncating(std::size_t Announced, std::size_t Sent) {
  return [Announced, Sent](std::shared_ptr<ServerExchange> Exchange) {
    readBody(Exchange, 1 << 20,
             [Announced, Sent](auto Done, const std::string &) {
               HttpResponseHead Head;
               Head.BodyLength = Announced;
               Done->sendHead(Head);
               Done->sendBody(std::string(Sent, 't'));
               Done->finish();
             });
  };
}

} // namespace

// Guards against a false "not-run": callers then send a non-idempotent request
// again, so it must be true at every point of failure (guarantee G8).
TEST_CASE("an upstream that cannot be reached gives not-run") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("never"));
  Mesh.start();
  Node.Upstream.reset();
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Status == 503);
  CHECK(Order->Outcome == "not-run");
  CHECK(Order->Reason == "upstream-unreachable");
}

TEST_CASE("a gate that cannot be reached gives not-run") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("never"));
  Mesh.start();
  Node.Peer.reset();
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Outcome == "not-run");
  CHECK(Order->Reason == "gate-unreachable");
  CHECK(Node.Requests == 0);
}

TEST_CASE("an upstream that breaks the connection gives unknown") {
  MeshFixture Mesh;
  SUBCASE("after the head") { Mesh.addGate("v1", breaking(1)); }
  SUBCASE("after a part of the request") { Mesh.addGate("v1", breaking(500)); }
  SUBCASE("after the whole request") { Mesh.addGate("v1", breaking(100000)); }
  SUBCASE("after a part of the response") {
    Mesh.addGate("v1", truncating(1000, 999));
  }
  SUBCASE("after the head of the response") {
    Mesh.addGate("v1", truncating(1, 0));
  }
  Mesh.addGate("v1", answering("second upstream"), "b");
  Mesh.start();
  auto Order = Mesh.callAndWait("POST", "/order", std::string(1000, 'o'));
  CHECK(Order->Status == 502);
  CHECK(Order->Outcome == "unknown");
  CHECK(Mesh.Gates[1]->Requests == 0);
  REQUIRE(Mesh.Reports.size() == 1);
  CHECK_FALSE(Mesh.Reports[0].Ok);
}

// Guards against a truncated response that looks complete to the caller
// (guarantee G7).
TEST_CASE("a large response that is truncated breaks the caller's connection") {
  MeshFixture Mesh;
  Mesh.addGate("v1", truncating(400000, 399999));
  Mesh.start();
  auto Order = Mesh.callAndWait("POST", "/order", "one");
  CHECK(Order->Failed);
  CHECK_FALSE(Order->Ended);
}

TEST_CASE("a caller gets not-run without a matching route or a configuration") {
  MeshFixture Mesh;
  Mesh.addGate("v1", answering("ok"));
  Mesh.start();
  auto Call = Mesh.callAndWait("GET", "/elsewhere");
  CHECK(Call->Status == 404);
  CHECK(Call->Outcome == "not-run");
  Mesh.Entry->update({});
  Call = Mesh.callAndWait("GET", "/browse");
  CHECK(Call->Status == 503);
  CHECK(Call->Reason == "no-configuration");
}

TEST_CASE("a malformed class or deadline is refused") {
  MeshFixture Mesh;
  Mesh.addGate("v1", answering("ok"));
  Mesh.start();
  for (auto [Name, Value] : {std::pair{header::DeadlineMs, "soon"},
                             std::pair{header::DeadlineMs, "-5"},
                             std::pair{header::Class, "royal"}}) {
    HttpHeaders Headers;
    Headers.add(Name, Value);
    auto Call = Mesh.callAndWait("GET", "/browse", "", Headers);
    CHECK(Call->Status == 400);
    CHECK(Call->Outcome == "not-run");
  }
  CHECK(Mesh.Gates[0]->Requests == 0);
}

TEST_CASE("the deadline holds over two hops and decreases on the way") {
  MeshFixture Mesh;
  std::vector<std::shared_ptr<ServerExchange>> Held;
  Mesh.addGate("v1", [&](auto Exchange) { Held.push_back(Exchange); });
  Mesh.start();
  HttpHeaders Headers;
  Headers.add(header::DeadlineMs, "300");
  Instant Start = Mesh.Loop->now();
  auto Order = Mesh.callAndWait("POST", "/order", "one", Headers);
  Duration Spent = Mesh.Loop->now() - Start;
  CHECK(Order->Status == 504);
  CHECK(Order->Outcome == "unknown");
  CHECK(Spent < std::chrono::milliseconds(400));
  REQUIRE(Held.size() == 1);
  auto Left =
      Deadline::parseHeader(Held[0]->request().Headers.get(header::DeadlineMs));
  REQUIRE(Left);
  CHECK(*Left < std::chrono::milliseconds(300));
  CHECK(*Left > std::chrono::milliseconds(200));
}

TEST_CASE("a call that waits for a slot until its deadline is not run") {
  MeshFixture Mesh;
  std::vector<std::shared_ptr<ServerExchange>> Held;
  Mesh.addGate(
      "v1", [&](auto Exchange) { Held.push_back(Exchange); }, "a", 1);
  Mesh.start();
  auto First = Mesh.call("POST", "/order", "one");
  REQUIRE(Mesh.runUntil([&] { return Held.size() == 1; }));
  HttpHeaders Headers;
  Headers.add(header::DeadlineMs, "200");
  auto Second = Mesh.callAndWait("POST", "/order", "two", Headers);
  // Callers take this status as "not run" and may send the order again.
  CHECK(Second->Status == 503);
  CHECK(Second->Outcome == "not-run");
  CHECK(Held.size() == 1);
}

TEST_CASE("a refusal that arrives while the loop is late for the deadline is "
          "lost") {
  MeshFixture Mesh;
  std::vector<std::shared_ptr<ServerExchange>> Held;
  Mesh.addGate(
      "v1", [&](auto Exchange) { Held.push_back(Exchange); }, "a", 1);
  Mesh.start();
  auto First = Mesh.call("POST", "/order", "one");
  REQUIRE(Mesh.runUntil([&] { return Held.size() == 1; }));
  HttpHeaders Headers;
  Headers.add(header::DeadlineMs, "200");
  // The gate refuses the call and the entry gives it up in one turn.
  Mesh.Loop->after(std::chrono::milliseconds(150), [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  });
  auto Second = Mesh.callAndWait("POST", "/order", "two", Headers);
  CHECK(Second->Status == 503);
  CHECK(Second->Outcome == "not-run");
  CHECK(Held.size() == 1);
}

TEST_CASE("a caller that disconnects cancels the call at gate and upstream") {
  MeshFixture Mesh;
  int Aborts = 0;
  std::shared_ptr<ServerExchange> Held;
  GateNode &Node = Mesh.addGate("v1", [&](auto Exchange) {
    Held = Exchange;
    ServerExchange::Hooks Hooks;
    Hooks.OnAborted = [&] { ++Aborts; };
    Held->setHooks(std::move(Hooks));
  });
  Mesh.start();
  std::string Path;
  SUBCASE("idempotent") { Path = "/browse"; }
  SUBCASE("not idempotent") { Path = "/order"; }
  auto Call = Mesh.call("POST", Path, "x");
  REQUIRE(Mesh.runUntil([&] { return Held != nullptr; }));
  Call->Exchange->cancel();
  // Before the route's timeout of 5 s, which would also end the call.
  REQUIRE(Mesh.runUntil([&] { return Aborts == 1; }, std::chrono::seconds(3)));
  CHECK(Node.Gate->inFlightRequests() == 0);
  CHECK(Mesh.Entry->inFlightRequests() == 0);
}
