#include "libproxy/meshfixture.h"

#include <Poco/Net/StreamSocket.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// Sends \a Request over a new connection and closes it, so that the server
/// finds the request and the end of the connection at the same time.
void sendAndLeave(const Endpoint &To, const std::string &Request) {
  Poco::Net::StreamSocket Socket{Poco::Net::SocketAddress(To.str())};
  Socket.sendBytes(Request.data(), static_cast<int>(Request.size()));
  Socket.close();
}

std::string forwarded(const std::string &Method, const std::string &Route) {
  return Method + " /" + Route +
         " HTTP/1.1\r\nHost: gate\r\nContent-Length: 0\r\n" +
         header::RequestId + ": 8-1\r\n" + header::Incarnation + ": 100\r\n" +
         header::Revision + ": 1\r\n" + header::Route + ": " + Route + "\r\n" +
         header::Version + ": v1\r\n" + header::Class + ": interactive\r\n" +
         header::DeadlineMs + ": 5000\r\n\r\n";
}

} // namespace

TEST_CASE("a request and the end of its connection that a gate reads together "
          "do not reach the upstream") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("for nobody"));
  Mesh.start();
  // Opens the connection to the upstream.
  Mesh.callAndWait("GET", "/browse");
  REQUIRE(Node.Requests == 1);
  SUBCASE("idempotent") {
    sendAndLeave(Node.PeerAddress, forwarded("GET", "browse"));
  }
  SUBCASE("not idempotent") {
    sendAndLeave(Node.PeerAddress, forwarded("POST", "order"));
  }
  Mesh.runUntil([&] { return Node.Requests > 1; }, 500ms);
  CHECK(Node.Requests == 1);
  // The slot is free again.
  CHECK(Node.Gate->inFlightRequests() == 0);
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
}

TEST_CASE("a request and the end of its connection that an entry reads "
          "together are not forwarded") {
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("for nobody"));
  Mesh.start();
  Mesh.callAndWait("GET", "/browse");
  REQUIRE(Node.Requests == 1);
  sendAndLeave(Mesh.Listener->address(),
               "GET /browse HTTP/1.1\r\nHost: shop\r\n\r\n");
  REQUIRE(
      Mesh.runUntil([&] { return Mesh.Entry->counters().Cancelled == 1; }, 5s));
  CHECK(Mesh.Entry->counters().Attempts == 1);
  Mesh.runUntil([&] { return Node.Requests > 1; }, 200ms);
  CHECK(Node.Requests == 1);
}

TEST_CASE("a queued request whose entry has left is not started by the slot "
          "that becomes free") {
  MeshFixture Mesh;
  std::shared_ptr<ServerExchange> Running;
  GateNode &Node = Mesh.addGate(
      "v1",
      [&Running](std::shared_ptr<ServerExchange> Exchange) {
        Exchange->setHooks({});
        Running = std::move(Exchange);
      },
      "a", /*Slots=*/1);
  Mesh.start();
  auto First = Mesh.call("GET", "/browse");
  REQUIRE(Mesh.runUntil([&] { return Running != nullptr; }));
  Poco::Net::StreamSocket Entry{
      Poco::Net::SocketAddress(Node.PeerAddress.str())};
  const std::string Request = forwarded("POST", "order");
  Entry.sendBytes(Request.data(), static_cast<int>(Request.size()));
  REQUIRE(Mesh.runUntil([&] { return Node.Gate->inFlightRequests() == 2; }));
  // Both events are ready when the loop runs again.
  respond(*Running, 200, "text/plain", "done");
  Entry.close();
  REQUIRE(Mesh.runUntil([&] { return First->over(); }));
  Mesh.runUntil([&] { return Node.Requests > 1; }, 500ms);
  CHECK(Node.Requests == 1);
}
