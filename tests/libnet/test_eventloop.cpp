#include "libnet/netfixture.h"
#include <Poco/Net/ServerSocket.h>
#include <csignal>

using namespace amaranthward;

TEST_CASE("timers fire in the order of their times and can be cancelled") {
  NetFixture Net;
  std::string Order;
  auto After = [&](int Milliseconds, char Name) {
    return Net.Loop->after(std::chrono::milliseconds(Milliseconds),
                           [&Order, Name] { Order += Name; });
  };
  After(20, 'c');
  After(5, 'a');
  auto Cancelled = After(10, 'x');
  After(12, 'b');
  Net.Loop->cancel(Cancelled);
  REQUIRE(Net.runUntil([&] { return Order.size() == 3; }));
  CHECK(Order == "abc");
}

TEST_CASE("a repeated timer can cancel itself") {
  NetFixture Net;
  int Count = 0;
  EventLoop::TimerId Timer = 0;
  Timer = Net.Loop->every(std::chrono::milliseconds(1), [&] {
    if (++Count == 3)
      Net.Loop->cancel(Timer);
  });
  bool Later = false;
  Net.Loop->after(std::chrono::milliseconds(30), [&] { Later = true; });
  REQUIRE(Net.runUntil([&] { return Later; }));
  CHECK(Count == 3);
}

TEST_CASE("a hook that throws does not stop the loop") {
  NetFixture Net;
  bool Later = false;
  Net.Loop->post([] { throw std::runtime_error("expected by this test"); });
  Net.Loop->post([&] { Later = true; });
  CHECK(Net.runUntil([&] { return Later; }));
}

TEST_CASE("a hook may remove its own socket and destroy itself") {
  NetFixture Net;
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  auto Token = std::make_shared<int>(5);
  int Seen = 0;
  Net.Loop->add(Listener, {[&Net, &Seen, Listener, Token] {
                             Net.Loop->remove(Listener);
                             Seen = *Token;
                           },
                           {},
                           {}});
  Poco::Net::StreamSocket Caller(Listener.address());
  CHECK(Net.runUntil([&] { return Seen == 5; }));
  CHECK(Token.use_count() == 1);
}

TEST_CASE("stop may be called from a signal handler") {
  static EventLoop *Stopped = nullptr;
  NetFixture Net;
  Stopped = Net.Loop.get();
  auto Previous = std::signal(SIGUSR1, [](int) { Stopped->stop(); });
  Net.Loop->after(std::chrono::milliseconds(5), [] { std::raise(SIGUSR1); });
  Net.Loop->run();
  std::signal(SIGUSR1, Previous);
  CHECK(true);
}
