#include "libnet/netfixture.h"
#include <Poco/Net/ServerSocket.h>
#include <array>

using namespace amaranthward;

namespace {

struct Seen {
  std::vector<int> Interim;
  int Status = 0;
  std::string Body;
  int Ends = 0;
  int Failures = 0;
  ClientFailure Failure;

  bool over() const { return this->Ends + this->Failures > 0; }
  ClientExchange::Hooks hooks() {
    ClientExchange::Hooks Hooks;
    Hooks.OnInterim = [this](int Each) { this->Interim.push_back(Each); };
    Hooks.OnHead = [this](const auto &Head) { this->Status = Head.Status; };
    Hooks.OnBody = [this](std::string_view Data) { this->Body += Data; };
    Hooks.OnEnd = [this] { ++this->Ends; };
    Hooks.OnFailure = [this](const ClientFailure &Each) {
      ++this->Failures;
      this->Failure = Each;
    };
    return Hooks;
  }
};

const char *const BothLengths = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\na";

HttpRequestHead get(const std::string &Method = "GET") {
  return {Method, "/", {}, 0};
}

/// A server that sends fixed bytes to each connection after its request head
/// and then closes or keeps it open.
struct RawServer {
  EventLoop &Loop;
  std::string Bytes;
  bool Close;
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::vector<std::shared_ptr<StreamConnection>> Open;

  RawServer(EventLoop &Loop, std::string Bytes, bool Close)
      : Loop(Loop), Bytes(std::move(Bytes)), Close(Close) {
    Loop.add(this->Listener, {[this] { this->accept(); }, {}, {}});
  }
  ~RawServer() {
    this->Loop.remove(this->Listener);
    for (const auto &Each : this->Open)
      Each->close();
  }
  void accept() {
    StreamConnection::Hooks Hooks;
    std::size_t Index = this->Open.size();
    Hooks.OnData = [this, Index](std::string_view) {
      this->Open[Index]->write(this->Bytes);
      if (this->Close)
        this->Open[Index]->finishWrites();
    };
    this->Open.push_back(StreamConnection::accept(
        this->Loop, this->Listener.acceptConnection(), Hooks));
  }
  Endpoint address() const {
    return Endpoint(this->Listener.address().toString());
  }
};

} // namespace

// A shorter response must never look complete (guarantee G7).
TEST_CASE("a truncated response is a failure at every length") {
  for (const std::string &Whole :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nhello\r\n0\r\n\r\n")})
    for (std::size_t Length = 0; Length <= Whole.size(); ++Length) {
      INFO(Length);
      NetFixture Net;
      RawServer Server(*Net.Loop, Whole.substr(0, Length), true);
      Seen Found;
      auto Exchange = Net.Client->send(Server.address(), get(), Found.hooks());
      REQUIRE(Net.runUntil([&] { return Found.over(); }));
      CHECK(Found.Ends == (Length == Whole.size() ? 1 : 0));
      CHECK(Found.Failures == (Length == Whole.size() ? 0 : 1));
      if (Found.Failures)
        CHECK(Found.Failure.BytesSent);
    }
}

TEST_CASE("a body without a length ends with its connection") {
  // Guards against complete answers of upstreams that are reported as failed,
  // and against a reset one that is delivered as complete.
  NetFixture Net;
  HttpClientLimits Limits;
  Limits.BodyMayEndWithConnection = true;
  auto Client = std::move(*HttpClient::create(*Net.Loop, Limits));
  std::string Head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
  bool Reset = false;
  SUBCASE("closed in order") { Reset = false; }
  SUBCASE("reset") { Reset = true; }
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  Seen Found;
  auto Exchange = Client->send(Endpoint(Listener.address().toString()), get(),
                               Found.hooks());
  Poco::Net::StreamSocket Peer = Listener.acceptConnection();
  std::string Text = Head + std::string(50000, 'b');
  Peer.sendBytes(Text.data(), static_cast<int>(Text.size()));
  REQUIRE(Net.runUntil([&] { return Found.Body.size() == 50000; }));
  CHECK_FALSE(Found.over());
  // A close with unread bytes would be a reset.
  std::array<char, 4096> Request{};
  REQUIRE(Peer.receiveBytes(Request.data(), Request.size()) > 0);
  if (Reset)
    Peer.setLinger(true, 0);
  Peer.close();
  REQUIRE(Net.runUntil([&] { return Found.over(); }));
  CHECK(Found.Ends == (Reset ? 0 : 1));
  CHECK(Found.Failures == (Reset ? 1 : 0));
}

TEST_CASE("a malformed response is a failure") {
  for (const char *Bytes :
       {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        BothLengths, "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n", "nonsense\r\n\r\n"}) {
    INFO(Bytes);
    NetFixture Net;
    RawServer Server(*Net.Loop, Bytes, false);
    Seen Found;
    auto Exchange = Net.Client->send(Server.address(), get(), Found.hooks());
    REQUIRE(Net.runUntil([&] { return Found.over(); }));
    CHECK(Found.Failures == 1);
    CHECK(Net.Client->openConnections(Server.address()) == 0);
  }
}

TEST_CASE("interim responses precede the final one") {
  NetFixture Net;
  RawServer Server(*Net.Loop,
                   "HTTP/1.1 102 Processing\r\n\r\n"
                   "HTTP/1.1 102 Processing\r\n\r\n"
                   "HTTP/1.1 204 No Content\r\n\r\n",
                   false);
  Seen Found;
  auto Exchange = Net.Client->send(Server.address(), get(), Found.hooks());
  REQUIRE(Net.runUntil([&] { return Found.over(); }));
  CHECK(Found.Interim == std::vector<int>{102, 102});
  CHECK(Found.Status == 204);
  CHECK(Found.Ends == 1);
}

TEST_CASE("a response to HEAD has a length but no body") {
  NetFixture Net;
  Net.serve(
      [](auto Exchange) { respond(*Exchange, 200, "text/plain", "hello"); });
  for (int Round = 0; Round < 2; ++Round) {
    Seen Found;
    auto Exchange =
        Net.Client->send(Net.Server->address(), get("HEAD"), Found.hooks());
    REQUIRE(Net.runUntil([&] { return Found.over(); }));
    CHECK(Found.Ends == 1);
    CHECK(Found.Body.empty());
  }
  CHECK(Net.Client->openConnections(Net.Server->address()) == 1);
}

// A late response to an abandoned request must not reach the next one.
TEST_CASE("a connection with an abandoned response is never reused") {
  NetFixture Net;
  std::vector<std::shared_ptr<ServerExchange>> Waiting;
  Net.serve([&](auto Exchange) { Waiting.push_back(Exchange); });
  Seen First;
  auto Exchange = Net.Client->send(Net.Server->address(), get(), First.hooks());
  REQUIRE(Net.runUntil([&] { return Waiting.size() == 1; }));
  Exchange->cancel();
  CHECK(Net.Client->openConnections(Net.Server->address()) == 0);
  Seen Second;
  auto Other = Net.Client->send(Net.Server->address(), get(), Second.hooks());
  REQUIRE(Net.runUntil([&] { return Waiting.size() == 2; }));
  respond(*Waiting[0], 200, "text/plain", "late");
  respond(*Waiting[1], 200, "text/plain", "second");
  REQUIRE(Net.runUntil([&] { return Second.over(); }));
  CHECK(Second.Body == "second");
  CHECK_FALSE(First.over());
}

TEST_CASE("a refused connection reports that no byte was sent") {
  NetFixture Net;
  Net.serve([](auto) {});
  Endpoint Address = Net.Server->address();
  Net.Server.reset();
  Seen Found;
  auto Exchange = Net.Client->send(Address, get(), Found.hooks());
  REQUIRE(Net.runUntil([&] { return Found.over(); }));
  CHECK(Found.Failures == 1);
  CHECK_FALSE(Found.Failure.BytesSent);
}
