#include "amaranthward/controlprocess.h"

#include "libcore/log.h"
#include <algorithm>

namespace amaranthward {

namespace {

/// With seeds, the name of a replica is its address, so that a replica can be
/// reached without a table of names.
std::vector<ReplicaName> namesOf(const std::vector<Endpoint> &Seeds) {
  std::vector<ReplicaName> Names;
  Names.reserve(Seeds.size());
  for (const Endpoint &Seed : Seeds)
    Names.emplace_back(Seed.str());
  return Names;
}

} // namespace

Result<std::unique_ptr<ControlProcess>>
ControlProcess::create(EventLoop &Loop, ControlSettings Settings) {
  std::unique_ptr<ControlProcess> Process(
      new ControlProcess(Loop, std::move(Settings)));
  if (auto Started = Process->start(); !Started)
    return tl::make_unexpected(Started.error());
  return Process;
}

ReplicaName ControlProcess::ownName() const {
  if (this->Settings.Seeds.empty())
    return this->Settings.Name;
  return ReplicaName(
      this->Settings.Advertise.value_or(this->Settings.Listen).str());
}

OpenMembership
ControlProcess::openMembership(const std::vector<ReplicaName> &Peers) const {
  OpenMembership Open;
  bool IsSeed =
      std::find(Peers.begin(), Peers.end(), this->ownName()) != Peers.end();
  Open.MayForm = this->Settings.FirstStart && IsSeed;
  Open.TargetVoters = 2 * this->Settings.ToleratedLosses + 1;
  return Open;
}

Result<void> ControlProcess::start() {
  auto ClientMade =
      HttpClient::create(this->Loop, HttpClientLimits::withinMesh());
  if (!ClientMade)
    return tl::make_unexpected(ClientMade.error());
  this->Client = std::move(*ClientMade);

  ReplicaOptions Replication;
  Replication.Self = this->ownName();
  for (const ControlPeer &Peer : this->Settings.Peers)
    Replication.Peers.push_back(Peer.Name);
  if (!this->Settings.Seeds.empty()) {
    Replication.Peers = namesOf(this->Settings.Seeds);
    Replication.Open = this->openMembership(Replication.Peers);
  }
  Replication.DataFolder = this->Settings.DataFolder;
  Replication.SnapshotAfterBytes = SnapshotAfterBytes;
  Replication.SnapshotLogRatio = SnapshotLogRatio;
  ControlServiceHooks Hooks;
  Hooks.SendToReplica = [this](const ReplicaName &To, const Json &Message) {
    this->sendToReplica(To, Message);
  };
  Hooks.OnChange = [this] {
    if (this->Operators)
      this->Operators->onChange();
  };
  Hooks.OnTickNeeded = [this] { this->scheduleTick(); };
  Hooks.SyncHold = this->Settings.Sync.Hold;
  Hooks.Exposure = {this->Settings.ExposureShare, this->Settings.ExposureCalls};
  Hooks.Now = [this] { return this->Loop.now(); };
  Hooks.Wall = wallNow;
  Hooks.Random = systemRandom();
  auto ServiceMade =
      ControlService::create(std::move(Replication), std::move(Hooks));
  if (!ServiceMade)
    return tl::make_unexpected(ServiceMade.error());
  this->Service = std::move(*ServiceMade);

  auto OperatorsMade = OperatorApi::create(
      this->Loop, *this->Service, this->Registry,
      [this](const ReplicaName &Name) { return this->addressOf(Name); });
  if (!OperatorsMade)
    return tl::make_unexpected(OperatorsMade.error());
  this->Operators = std::move(*OperatorsMade);
  this->addRoutes();

  HttpServerLimits Limits;
  Limits.MaxConnections = 4096;
  auto ServerMade = HttpServer::create(
      this->Loop, this->Settings.Listen, Limits,
      [this](auto Exchange) { this->Router.handle(Exchange); });
  if (!ServerMade)
    return tl::make_unexpected(ServerMade.error());
  this->Server = std::move(*ServerMade);
  if (this->Settings.MetricsListen) {
    auto Listening = MetricsListener::create(
        this->Loop, *this->Settings.MetricsListen, this->Registry,
        [this] { this->updateGauges(); });
    if (!Listening)
      return tl::make_unexpected(Listening.error());
    this->MetricsEndpoint = std::move(*Listening);
  }
  this->Loop.every(TickInterval, [this] { this->tick(); });
  LatencyBuckets &Turns = this->Registry.latency("loop_turn_seconds");
  this->Loop.observeTurns([&Turns](Duration Turn) { Turns.add(Turn); });
  logFor("control")->info("Replica {} listens on {}.",
                          this->Settings.Name.str(),
                          this->Server->address().str());
  return {};
}

void ControlProcess::addRoutes() {
  SyncEndpoint::Hooks Hooks;
  Hooks.Now = [this] { return this->Loop.now(); };
  Hooks.OnRequest = [this](const SyncRequest &Request,
                           SyncServer::Complete OnComplete) {
    this->Service->sync(Request, std::move(OnComplete));
  };
  Hooks.OnAbandoned = [this](const NodeName &Node, std::uint64_t Sequence) {
    this->Service->abandonSync(Node, Sequence);
  };
  this->Sync = *SyncEndpoint::create(this->Registry, "sync", std::move(Hooks));
  this->Operators->addRoutes(this->Router);
  serveMetrics(this->Router, this->Registry, [this] { this->updateGauges(); });
  if (this->Settings.Platform) {
    this->Platform = PlatformControl::create(
        *this->Service,
        [this](const ReplicaName &Name) { return this->addressOf(Name); });
    this->Platform->addRoutes(this->Router);
  }
  this->Router.post("/v1/consensus", MaxReplicaMessageBytes,
                    [this](auto Exchange, std::string Body) {
                      this->receive(Exchange, Body);
                    });
  this->Router.post("/v1/sync", MaxJsonBodyBytes,
                    [this](auto Exchange, std::string Body) {
                      if (!this->Service->isLeader())
                        return this->Operators->redirect(*Exchange);
                      this->Sync->serve(Exchange, Body);
                    });
}

void ControlProcess::sendToReplica(const ReplicaName &To, const Json &Message) {
  std::size_t &Count = this->InFlightRequests[To];
  Endpoint Address = this->addressOf(To);
  if (Address.empty() || Count >= MaxMessagesInFlight)
    return;
  ++Count;
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/v1/consensus";
  Head.Headers.add("Content-Type", "application/json");
  Json Envelope = {{"from", this->ownName().str()}, {"message", Message}};
  std::string Body = dumpJson(Envelope);
  this->Registry.counter("replica_message_bytes_total") += Body.size();
  this->Client->call(
      Address, Head, std::move(Body), MessageTimeout, MaxJsonBodyBytes,
      [this, To](Result<HttpResponse>) { --this->InFlightRequests[To]; });
}

void ControlProcess::receive(std::shared_ptr<ServerExchange> Exchange,
                             const std::string &Body) {
  auto Envelope = parseJson(Body);
  if (!Envelope || !Envelope->is_object() || !Envelope->contains("message"))
    return respondError(*Exchange, 400, "body is not a replica message");
  respond(*Exchange, 204, "", "");
  this->Service->receive(ReplicaName(textAt(*Envelope, "from")),
                         (*Envelope)["message"]);
}

void ControlProcess::updateGauges() {
  this->Registry.gauge("leader") = this->Service->isLeader() ? 1 : 0;
  this->Registry.gauge("longest_loop_pause_seconds") =
      std::chrono::duration<double>(this->Loop.longestPause()).count();
}

void ControlProcess::scheduleTick() {
  if (this->TickPending)
    return;
  this->TickPending = true;
  this->Loop.post([this] { this->tick(); });
}

void ControlProcess::tick() {
  this->TickPending = false;
  this->Service->tick();
  if (!this->StopDeadline)
    return;
  bool Leads = this->Service->isLeader();
  if (Leads && this->Loop.now() < *this->StopDeadline)
    return;
  logFor("control")->info(
      "Planned stop complete; this replica {}.",
      Leads ? "is still the leader, because no other replica took over"
            : "is not the leader");
  this->Loop.stop();
}

void ControlProcess::beginStop() {
  if (this->StopDeadline)
    return;
  logFor("control")->info("Planned stop: transferring leadership.");
  this->StopDeadline = this->Loop.now() + HandOverTimeout;
  this->Service->handOverLeadership();
}

void ControlProcess::reload(const ControlSettings &Changed) {
  if (Changed.Seeds.empty() || this->Settings.Seeds.empty())
    return;
  this->Settings.Seeds = Changed.Seeds;
  this->Service->setPeers(namesOf(Changed.Seeds));
}

Endpoint ControlProcess::addressOf(const ReplicaName &Name) const {
  if (!this->Settings.Seeds.empty())
    return Endpoint(Name.str());
  if (Name == this->Settings.Name)
    return this->Settings.Advertise.value_or(this->Settings.Listen);
  for (const ControlPeer &Peer : this->Settings.Peers) {
    if (Peer.Name == Name)
      return Peer.Address;
  }
  return Endpoint();
}

} // namespace amaranthward
