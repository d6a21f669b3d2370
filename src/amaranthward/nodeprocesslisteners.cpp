#include "amaranthward/nodeprocess.h"

#include "libproxy/requestlog.h"

namespace amaranthward {

namespace {

constexpr std::size_t MaxCallerConnections = 4096;
constexpr std::size_t MaxPeerConnections = 8192;
constexpr const char *NoSafeRevisionReason = "no-safe-revision";

} // namespace

Result<void> NodeProcess::listen() {
  struct Listener {
    std::unique_ptr<HttpServer> &Server;
    const Endpoint &Address;
    std::size_t MaxConnections;
    HttpServer::Handler OnRequest;
  };
  Listener All[] = {
      {this->CallerServer, this->Settings.Listen, MaxCallerConnections,
       [this](auto Exchange) { this->serveCaller(Exchange); }},
      {this->PeerServer, this->Settings.PeerListen, MaxPeerConnections,
       [this](auto Exchange) { this->servePeer(Exchange); }},
      {this->LocalServer, this->Settings.LocalListen,
       HttpServerLimits().MaxConnections,
       [this](auto Exchange) { this->LocalRouter.handle(Exchange); }}};
  for (Listener &Spec : All) {
    HttpServerLimits Limits;
    Limits.MaxConnections = Spec.MaxConnections;
    auto Made =
        HttpServer::create(this->Loop, Spec.Address, Limits, Spec.OnRequest);
    if (!Made)
      return tl::make_unexpected(Made.error());
    Spec.Server = std::move(*Made);
  }
  if (this->Settings.MetricsListen) {
    auto Made = MetricsListener::create(
        this->Loop, *this->Settings.MetricsListen, this->Registry,
        [this] { this->updateGauges(); });
    if (!Made)
      return tl::make_unexpected(Made.error());
    this->MetricsEndpoint = std::move(*Made);
  }
  return this->Settings.Ready ? this->listenReady() : Result<void>();
}

Result<void> NodeProcess::listenReady() {
  auto Made = HttpServer::create(
      this->Loop, this->Settings.Ready->Listen, {}, [this](auto Exchange) {
        if (pathOf(Exchange->request().Target) != this->Settings.Ready->Path)
          return respondError(*Exchange, 404, "path does not exist");
        if (this->ready())
          return respond(*Exchange, 200, "", "");
        respondError(*Exchange, 503,
                     this->Stopping == StopPhase::Running
                         ? this->Distribution->waitReason()
                         : "a planned stop is under way");
      });
  if (!Made)
    return tl::make_unexpected(Made.error());
  this->ReadyServer = std::move(*Made);
  return {};
}

void NodeProcess::addLocalRoutes() {
  this->LocalRouter.post(
      "/v1/announce", MaxJsonBodyBytes,
      [this](auto Exchange, const std::string &Body) {
        auto Value = parseJson(Body);
        if (!Value)
          return respondError(*Exchange, 400, Value.error().Message);
        auto Announced = UpstreamAnnouncement::parse(*Value);
        if (!Announced)
          return respondError(*Exchange, 400, Announced.error().Message);
        if (auto Taken = this->Gate->announce(*Announced); !Taken)
          return respondError(*Exchange, 400, Taken.error().Message);
        respond(*Exchange, 204, "", "");
      });
  if (this->Settings.Platform)
    this->addPlatform();
  this->LocalRouter.get("/v1/dump", [this](auto Exchange) {
    this->updateGauges();
    respondJson(*Exchange, 200, this->dump());
  });
  serveMetrics(this->LocalRouter, this->Registry,
               [this] { this->updateGauges(); });
}

void NodeProcess::addPlatform() {
  PlatformNode::Hooks Hooks;
  Hooks.OnAnnounced = [this](const UpstreamAnnouncement &Announced) {
    return this->Gate->announce(Announced);
  };
  Hooks.OnDeregistered = [this](const UpstreamEnd &Ended) {
    this->Gate->deregister(Ended);
  };
  this->Platform = PlatformNode::create(std::move(Hooks));
  this->Platform->addRoutes(this->LocalRouter);
}

void NodeProcess::serveCaller(std::shared_ptr<ServerExchange> Exchange) {
  if (this->Distribution->mayServe())
    return this->Entry->handle(Exchange);
  LogFields Fields =
      requestFields(this->Settings.Headers, Exchange->request().Headers, "");
  Fields.add("status", 503)
      .add("reason", NoSafeRevisionReason)
      .add("why", this->Distribution->waitReason());
  logEvent(logpart::Entry, "refused", Fields, this->Loop.now());
  HttpHeaders Headers = outcomeFields(Outcome::NotRun, NoSafeRevisionReason);
  Headers.add("Retry-After", SafeRevisionRetryAfter);
  respondError(*Exchange, 503, this->Distribution->waitReason(),
               std::move(Headers));
}

void NodeProcess::servePeer(std::shared_ptr<ServerExchange> Exchange) {
  if (Exchange->request().Headers.has("Amaranth-Request-Id"))
    this->Gate->handle(Exchange);
  else
    this->PeerRouter.handle(Exchange);
}

} // namespace amaranthward
