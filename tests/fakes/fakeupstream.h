#ifndef AMARANTHWARD_TESTS_FAKES_FAKEUPSTREAM_H
#define AMARANTHWARD_TESTS_FAKES_FAKEUPSTREAM_H

#include "libnet/httpclient.h"
#include "libnet/httprouter.h"
#include <map>
#include <memory>
#include <string>

namespace amaranthward {

struct FakeUpstreamOptions {
  Endpoint Listen;
  /// Local listener of the node beside it; empty announces nothing.
  Endpoint Node;
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 9;
  std::uint32_t Connections = 130;
  Duration Latency = std::chrono::milliseconds(2);
  /// Calls that fail, in percent.
  std::uint32_t FailPercent = 0;
  /// Time from the start to full capacity; capacity grows linearly from one
  /// call at a time.
  Duration WarmUp = Duration::zero();
  /// Calls beyond the capacity make all calls fail for a while.
  bool FallOver = false;
};

/// Stand-in for an upstream: answers any path and counts executions.
class FakeUpstream {
public:
  static Result<std::unique_ptr<FakeUpstream>>
  create(EventLoop &Loop, FakeUpstreamOptions Options);

  /// Announces that it is leaving, finishes its requests and stops the loop.
  void beginStop();

  static constexpr Duration AnnounceInterval = std::chrono::seconds(1);
  static constexpr Duration FallOverTime = std::chrono::seconds(1);
  static constexpr Duration LeavingTime = std::chrono::seconds(3);

private:
  FakeUpstream(EventLoop &Loop, FakeUpstreamOptions Options)
      : Loop(Loop), Options(std::move(Options)), Random(seededRandom(1)) {}
  Result<void> start();
  void announce();
  void serve(std::shared_ptr<ServerExchange> Exchange);
  void run(std::shared_ptr<ServerExchange> Exchange);
  void answer(ServerExchange &Exchange, bool Succeeds);
  std::uint32_t capacity() const;
  Json executions() const;

  EventLoop &Loop;
  FakeUpstreamOptions Options;
  RandomFunction Random;
  std::unique_ptr<HttpClient> Client;
  std::unique_ptr<HttpServer> Server;
  Instant Started;
  Instant FallenUntil;
  std::optional<Instant> StopAt;
  std::uint32_t Running = 0;
  std::uint32_t MostRunning = 0;
  std::uint64_t Total = 0;
  std::uint64_t OverCapacity = 0;
  std::map<std::string, std::uint64_t> Orders;
};

} // namespace amaranthward

#endif
