#include "libnet/netfixture.h"

using namespace amaranthward;

namespace {

constexpr std::size_t Total = 20UL * 1024 * 1024;
const std::string Block(32UL * 1024, 'b');

} // namespace

// An unbounded write buffer would hold the whole body in memory.
TEST_CASE("a slow reader stops the sender") {
  NetFixture Net;
  std::size_t Sent = 0;
  std::size_t Received = 0;
  Net.serve([&](std::shared_ptr<ServerExchange> Exchange) {
    HttpResponseHead Head;
    Head.BodyLength = Total;
    Exchange->sendHead(Head);
    auto Pump = [&Sent, Exchange] {
      while (Sent < Total) {
        Sent += Block.size();
        if (!Exchange->sendBody(Block))
          return;
      }
      Exchange->finish();
    };
    ServerExchange::Hooks Hooks;
    Hooks.OnDrained = Pump;
    Exchange->setHooks(std::move(Hooks));
    Pump();
  });
  std::shared_ptr<ClientExchange> Exchange;
  bool Ended = false;
  ClientExchange::Hooks Hooks;
  Hooks.OnBody = [&](std::string_view Data) {
    Received += Data.size();
    Exchange->pauseBody();
  };
  Hooks.OnEnd = [&] { Ended = true; };
  HttpRequestHead Head;
  Head.Method = "GET";
  Head.Target = "/";
  Exchange = Net.Client->send(Net.Server->address(), Head, std::move(Hooks));
  REQUIRE(Net.runUntil([&] { return Received > 0; }));
  std::size_t Last = 0;
  int Still = 0;
  REQUIRE(Net.runUntil([&] {
    Still = Sent == Last ? Still + 1 : 0;
    Last = Sent;
    return Still > 50;
  }));
  // What is left is in the buffers of the two sockets.
  CHECK(Sent < Total);
  REQUIRE(Net.runUntil(
      [&] {
        Exchange->resumeBody();
        return Ended;
      },
      std::chrono::seconds(30)));
  CHECK(Received == Total);
}

TEST_CASE("a slow handler stops the uploader") {
  NetFixture Net;
  std::shared_ptr<ServerExchange> Held;
  std::size_t Received = 0;
  Net.serve([&](std::shared_ptr<ServerExchange> Exchange) {
    Held = Exchange;
    ServerExchange::Hooks Hooks;
    Hooks.OnBody = [&](std::string_view Data) {
      Received += Data.size();
      Held->pauseBody();
    };
    Hooks.OnBodyEnd = [&] { respond(*Held, 200, "text/plain", "done"); };
    Exchange->setHooks(std::move(Hooks));
  });
  std::size_t Sent = 0;
  std::string Answer;
  std::shared_ptr<ClientExchange> Exchange;
  auto Pump = [&] {
    while (Sent < Total) {
      Sent += Block.size();
      if (!Exchange->sendBody(Block))
        return;
    }
    Exchange->finishBody();
  };
  ClientExchange::Hooks Hooks;
  Hooks.OnDrained = Pump;
  Hooks.OnBody = [&](std::string_view Data) { Answer += Data; };
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/";
  Head.BodyLength = std::nullopt;
  Exchange = Net.Client->send(Net.Server->address(), Head, std::move(Hooks));
  Pump();
  std::size_t Last = 1;
  int Still = 0;
  REQUIRE(Net.runUntil([&] {
    Still = Sent == Last ? Still + 1 : 0;
    Last = Sent;
    return Still > 50;
  }));
  CHECK(Sent < Total);
  REQUIRE(Net.runUntil(
      [&] {
        Held->resumeBody();
        return !Answer.empty();
      },
      std::chrono::seconds(30)));
  CHECK(Answer == "done");
  CHECK(Received == Total);
}

TEST_CASE("a response shorter than announced breaks the connection") {
  NetFixture Net;
  Net.serve([](std::shared_ptr<ServerExchange> Exchange) {
    HttpResponseHead Head;
    Head.BodyLength = 10;
    Exchange->sendHead(Head);
    Exchange->sendBody("short");
    Exchange->finish();
  });
  bool Failed = false;
  ClientExchange::Hooks Hooks;
  Hooks.OnFailure = [&](const ClientFailure &) { Failed = true; };
  HttpRequestHead Head;
  Head.Method = "GET";
  Head.Target = "/";
  auto Exchange =
      Net.Client->send(Net.Server->address(), Head, std::move(Hooks));
  CHECK(Net.runUntil([&] { return Failed; }));
}

TEST_CASE("a caller that goes away aborts the exchange") {
  NetFixture Net;
  std::shared_ptr<ServerExchange> Held;
  int Aborts = 0;
  Net.serve([&](std::shared_ptr<ServerExchange> Exchange) {
    Held = Exchange;
    ServerExchange::Hooks Hooks;
    Hooks.OnAborted = [&] { ++Aborts; };
    Exchange->setHooks(std::move(Hooks));
  });
  HttpRequestHead Head;
  Head.Method = "GET";
  Head.Target = "/";
  auto Exchange = Net.Client->send(Net.Server->address(), Head, {});
  REQUIRE(Net.runUntil([&] { return Held != nullptr; }));
  Exchange->cancel();
  REQUIRE(Net.runUntil([&] { return Aborts == 1; }));
  CHECK(Net.Server->connections() == 0);
  respond(*Held, 200, "text/plain", "nobody reads this");
}
