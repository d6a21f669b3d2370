#include "amaranthward/nodeprocess.h"

#include "libcore/log.h"

namespace amaranthward {

Result<std::unique_ptr<NodeProcess>>
NodeProcess::create(EventLoop &Loop, NodeSettings Settings) {
  std::unique_ptr<NodeProcess> Process(
      new NodeProcess(Loop, std::move(Settings)));
  if (auto Started = Process->start(); !Started)
    return tl::make_unexpected(Started.error());
  return Process;
}

Result<void> NodeProcess::start() {
  auto ClientMade = HttpClient::create(this->Loop, {});
  if (!ClientMade)
    return tl::make_unexpected(ClientMade.error());
  this->Client = std::move(*ClientMade);
  Incarnation Start(systemRandom()() >> 11);
  NodeDistribution::Hooks Hooks;
  Hooks.OnChanged = [] {};
  auto Made =
      NodeDistribution::create(this->Loop, *this->Client, this->Registry,
                               this->Settings, Start, std::move(Hooks));
  if (!Made)
    return tl::make_unexpected(Made.error());
  this->Distribution = std::move(*Made);
  this->Distribution->addPeerRoutes(this->PeerRouter);
  this->LocalRouter.get("/v1/dump", [this](auto Exchange) {
    respondJson(*Exchange, 200,
                {{"distribution", this->Distribution->dump()},
                 {"metrics", this->Registry.toJson()}});
  });
  auto Peers = HttpServer::create(
      this->Loop, this->Settings.PeerListen, {},
      [this](auto Exchange) { this->PeerRouter.handle(Exchange); });
  if (!Peers)
    return tl::make_unexpected(Peers.error());
  this->PeerServer = std::move(*Peers);
  auto Local = HttpServer::create(
      this->Loop, this->Settings.LocalListen, {},
      [this](auto Exchange) { this->LocalRouter.handle(Exchange); });
  if (!Local)
    return tl::make_unexpected(Local.error());
  this->LocalServer = std::move(*Local);
  this->Loop.every(TickInterval, [this] { this->tick(); });
  this->Distribution->start();
  return {};
}

void NodeProcess::tick() { this->Distribution->tick(); }

void NodeProcess::beginStop() { this->Loop.stop(); }

} // namespace amaranthward
