#include "fakes/fakeupstream.h"

#include <algorithm>

namespace amaranthward {

Result<std::unique_ptr<FakeUpstream>>
FakeUpstream::create(EventLoop &Loop, FakeUpstreamOptions Options) {
  std::unique_ptr<FakeUpstream> Made(
      new FakeUpstream(Loop, std::move(Options)));
  if (auto Started = Made->start(); !Started)
    return tl::make_unexpected(Started.error());
  return Made;
}

Result<void> FakeUpstream::start() {
  this->Started = this->Loop.now();
  auto ClientMade = HttpClient::create(this->Loop, {});
  if (!ClientMade)
    return tl::make_unexpected(ClientMade.error());
  this->Client = std::move(*ClientMade);
  auto ServerMade =
      HttpServer::create(this->Loop, this->Options.Listen, {},
                         [this](auto Exchange) { this->serve(Exchange); });
  if (!ServerMade)
    return tl::make_unexpected(ServerMade.error());
  this->Server = std::move(*ServerMade);
  if (!this->Options.Node.empty()) {
    this->announce();
    this->Loop.every(AnnounceInterval, [this] { this->announce(); });
  }
  return {};
}

void FakeUpstream::announce() {
  Json Body = {{"service", this->Options.Service},
               {"version", this->Options.Version},
               {"address", this->Server->address().str()},
               {"slots", this->Options.Slots},
               {"connections", this->Options.Connections},
               {"leaving", this->StopAt.has_value()}};
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/v1/announce";
  Head.Headers.add("Content-Type", "application/json");
  this->Client->call(this->Options.Node, Head, dumpJson(Body), AnnounceInterval,
                     MaxJsonBodyBytes, [](Result<HttpResponse>) {});
}

void FakeUpstream::serve(std::shared_ptr<ServerExchange> Exchange) {
  if (pathOf(Exchange->request().Target) == "/executions")
    return respondJson(*Exchange, 200, this->executions());
  ServerExchange::Hooks Hooks;
  Hooks.OnBody = [](std::string_view) {};
  Hooks.OnBodyEnd = [this, Exchange] { this->run(Exchange); };
  Exchange->setHooks(std::move(Hooks));
}

void FakeUpstream::run(std::shared_ptr<ServerExchange> Exchange) {
  ++this->Total;
  std::string Order = Exchange->request().Headers.get("X-Order-Id");
  if (!Order.empty())
    ++this->Orders[Order];
  ++this->Running;
  this->MostRunning = std::max(this->MostRunning, this->Running);
  if (this->Running > this->capacity()) {
    ++this->OverCapacity;
    if (this->Options.FallOver)
      this->FallenUntil = this->Loop.now() + FallOverTime;
  }
  bool Succeeds = this->Loop.now() >= this->FallenUntil &&
                  this->Random() % 100 >= this->Options.FailPercent;
  this->Loop.after(this->Options.Latency, [this, Exchange, Succeeds] {
    --this->Running;
    this->answer(*Exchange, Succeeds);
  });
}

void FakeUpstream::answer(ServerExchange &Exchange, bool Succeeds) {
  HttpHeaders Extra;
  if (this->StopAt)
    Extra.add("Connection", "close");
  Json Body = {{"service", this->Options.Service},
               {"version", this->Options.Version}};
  respondJson(Exchange, Succeeds ? 200 : 500, Body, std::move(Extra));
}

std::uint32_t FakeUpstream::capacity() const {
  if (this->Options.WarmUp == Duration::zero())
    return this->Options.Slots;
  auto Age = this->Loop.now() - this->Started;
  auto Grown = this->Options.Slots * Age / this->Options.WarmUp;
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Grown), 1,
                                   this->Options.Slots);
}

Json FakeUpstream::executions() const {
  return {{"total", this->Total},
          {"running", this->Running},
          {"most_running", this->MostRunning},
          {"over_capacity", this->OverCapacity},
          {"orders", this->Orders}};
}

void FakeUpstream::beginStop() {
  if (!this->StopAt) {
    this->StopAt = this->Loop.now() + LeavingTime;
    this->announce();
  }
  if (this->Loop.now() >= *this->StopAt && this->Running == 0)
    this->Loop.stop();
}

} // namespace amaranthward
