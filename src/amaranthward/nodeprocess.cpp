#include "amaranthward/nodeprocess.h"

#include "libcore/log.h"

namespace amaranthward {

namespace {

// Random; below 2^53, where integers are exact in every JSON reader.
Incarnation drawIncarnation() { return Incarnation(systemRandom()() >> 11); }

} // namespace

Result<std::unique_ptr<NodeProcess>>
NodeProcess::create(EventLoop &Loop, NodeSettings Settings) {
  NodeIdentity Identity{Settings.Name, drawIncarnation(), Settings.Zone,
                        Settings.Region};
  auto Observer = MoveObserver::create(Identity.Node, Identity.Start);
  if (!Observer)
    return tl::make_unexpected(Observer.error());
  std::unique_ptr<NodeProcess> Process(new NodeProcess(
      Loop, std::move(Settings), std::move(Identity), std::move(*Observer)));
  if (auto Started = Process->start(); !Started)
    return tl::make_unexpected(Started.error());
  return Process;
}

Result<void> NodeProcess::start() {
  auto ClientMade =
      HttpClient::create(this->Loop, HttpClientLimits::withinMesh());
  if (!ClientMade)
    return tl::make_unexpected(ClientMade.error());
  this->Client = std::move(*ClientMade);
  HttpClientLimits UpstreamLimits = HttpClientLimits::withinMesh();
  UpstreamLimits.IdleTimeout = UpstreamIdleTimeout;
  UpstreamLimits.BodyMayEndWithConnection = true;
  auto UpstreamsMade = HttpClient::create(this->Loop, UpstreamLimits);
  if (!UpstreamsMade)
    return tl::make_unexpected(UpstreamsMade.error());
  this->UpstreamClient = std::move(*UpstreamsMade);
  NodeDistribution::Hooks Hooks;
  Hooks.OnChanged = [this] { this->onStateChanged(); };
  auto Made = NodeDistribution::create(this->Loop, *this->Client,
                                       this->Registry, this->Settings,
                                       this->Identity.Start, std::move(Hooks));
  if (!Made)
    return tl::make_unexpected(Made.error());
  this->Distribution = std::move(*Made);
  if (auto Roles = this->createRoles(); !Roles)
    return Roles;
  this->Distribution->addPeerRoutes(this->PeerRouter);
  this->addLocalRoutes();
  if (auto Listening = this->listen(); !Listening)
    return Listening;
  this->Loop.every(TickInterval, [this] { this->tick(); });
  LatencyBuckets &Turns = this->Registry.latency("loop_turn_seconds");
  this->Loop.observeTurns([&Turns](Duration Turn) { Turns.add(Turn); });
  this->Distribution->start();
  logFor("node")->info("Node {} serves callers on {}.",
                       this->Settings.Name.str(),
                       this->CallerServer->address().str());
  return {};
}

Result<void> NodeProcess::createRoles() {
  auto ClaimsMade =
      ClaimService::create(this->Loop, *this->Client, this->Identity);
  if (!ClaimsMade)
    return tl::make_unexpected(ClaimsMade.error());
  this->Claims = std::move(*ClaimsMade);
  this->Claims->addPeerRoutes(this->PeerRouter);

  EntryOptions EntrySettings;
  EntrySettings.Self = this->Identity;
  EntrySettings.Names = this->Settings.Headers;
  EntrySettings.OwnService = this->Settings.Service;
  EntrySettings.RetryBound = this->Settings.RetryBound;
  EntryHooks Hooks;
  Hooks.OnAttempt = [this](const AttemptReport &Attempt) {
    this->HasNewAttempts = true;
    this->Observer.record(Attempt);
  };
  Hooks.OnCallEnd = [this](const RouteName &Route, const char *OutcomeName,
                           Duration Took) {
    this->Registry
        .latency("call_seconds{route=\"" + Route.str() + "\",outcome=\"" +
                 OutcomeName + "\"}")
        .add(Took);
  };
  Hooks.Claim = [this](const ClaimRequest &Request,
                       std::function<void(ClaimAnswer)> OnAnswer) {
    this->Claims->claim(Request, std::move(OnAnswer));
  };
  Hooks.Release = [this](const ServiceName &Service, const std::string &Key,
                         const RequestId &Id) {
    this->Claims->release(Service, Key, Id);
  };
  auto EntryMade = EntryRole::create(this->Loop, *this->Client,
                                     std::move(EntrySettings), Hooks);
  if (!EntryMade)
    return tl::make_unexpected(EntryMade.error());
  this->Entry = std::move(*EntryMade);

  GateOptions GateSettings;
  GateSettings.Self = this->Identity;
  GateSettings.Names = this->Settings.Headers;
  GateSettings.OwnService = this->Settings.Service;
  GateSettings.OwnAddress = this->Settings.Upstream;
  GateSettings.AnnouncementTimeout = this->Settings.UpstreamSilence;
  GateHooks OnGate;
  OnGate.OnUpstream =
      [this](const std::optional<UpstreamAnnouncement> &Upstream) {
        this->onUpstream(Upstream);
      };
  OnGate.OnExecuted = [this](Duration Waited,
                             std::optional<Duration> UpstreamTime) {
    this->Registry.latency("gate_wait_seconds").add(Waited);
    if (UpstreamTime)
      this->Registry.latency("upstream_seconds").add(*UpstreamTime);
  };
  auto GateMade =
      GateRole::create(this->Loop, *this->UpstreamClient, GateSettings, OnGate);
  if (!GateMade)
    return tl::make_unexpected(GateMade.error());
  this->Gate = std::move(*GateMade);
  return {};
}

bool NodeProcess::ready() const {
  return this->Stopping == StopPhase::Running && this->Distribution->mayServe();
}

void NodeProcess::onStateChanged() {
  ProxyState State;
  State.View = this->Distribution->view();
  State.Applied = this->Distribution->inForce();
  State.Members = this->Distribution->members();
  this->Claims->update(State, this->Distribution->wasCurrent());
  this->Entry->update(State);
  this->Gate->update(State);
  if (State.View)
    this->Observer.update(*State.View);
  this->observe();
}

void NodeProcess::onUpstream(
    const std::optional<UpstreamAnnouncement> &Upstream) {
  // Callers are of the service that the settings name, whatever the upstream
  // beside this node says of itself.
  if (Upstream && this->Settings.Service.empty())
    this->Entry->setOwnService(Upstream->Service);
  Member Self = this->Distribution->self();
  Self.Service = Upstream ? Upstream->Service : ServiceName();
  Self.Version = Upstream ? Upstream->Version : VersionName();
  Self.Slots = Upstream ? Upstream->Slots : 0;
  Self.Connections = Upstream ? Upstream->Connections : 0;
  Self.Leaving =
      this->Stopping != StopPhase::Running || (Upstream && Upstream->Leaving);
  this->Distribution->announce(Self);
}

void NodeProcess::tick() {
  this->Distribution->tick();
  if (this->Distribution->wasCurrent() && !this->WasCurrent) {
    this->WasCurrent = true;
    this->onStateChanged();
  }
  if (this->Loop.now() >= this->NextObservation)
    this->observe();
  if (this->Stopping != StopPhase::Running)
    this->continueStop();
}

void NodeProcess::observe() {
  this->NextObservation = this->Loop.now() + ObserveInterval;
  this->Observer.step(this->Loop.now());
  for (const VersionShareLimit &Limit : this->Observer.shareLimits())
    this->Entry->limitShare(Limit.Service, Limit.Version, Limit.MaxShare);
  if (this->HasNewAttempts)
    this->Distribution->observe(this->Observer.report());
  this->HasNewAttempts = false;
}

void NodeProcess::beginStop() {
  if (this->Stopping != StopPhase::Running)
    return;
  logFor("node")->info("Planned stop: announcing that this node is leaving.");
  this->Stopping = StopPhase::Leaving;
  this->StopDeadline =
      this->Loop.now() + this->Settings.Grace - ShutdownReserve;
  this->PhaseDeadline = this->Loop.now() + MaxLeaveTime;
  this->onUpstream(this->Gate->upstream());
}

void NodeProcess::reload(const NodeSettings &Changed) {
  this->Settings.Control = Changed.Control;
  this->Distribution->setControl(Changed.Control);
  this->Settings.Service = Changed.Service;
  this->Settings.Upstream = Changed.Upstream;
  this->Gate->setOwnUpstream(Changed.Service, Changed.Upstream);
  if (!Changed.Service.empty())
    this->Entry->setOwnService(Changed.Service);
}

void NodeProcess::continueStop() {
  Instant Now = this->Loop.now();
  switch (this->Stopping) {
  case StopPhase::Running:
    return;
  case StopPhase::Leaving:
    if (!this->LeaveAnnouncedAt && this->Distribution->announced())
      this->LeaveAnnouncedAt = Now;
    if (this->LeaveAnnouncedAt &&
        Now >= *this->LeaveAnnouncedAt + LeavePropagationTime)
      this->Gate->drain();
    // With a readiness address, callers keep sending requests until two of
    // their checks have failed, so the whole time is waited.
    if (Now < this->PhaseDeadline &&
        (this->ReadyServer ||
         !(this->LeaveAnnouncedAt &&
           Now >= *this->LeaveAnnouncedAt + LeavePropagationTime)))
      return;
    this->Gate->drain();
    this->CallerServer->drain();
    this->Stopping = StopPhase::Draining;
    this->PhaseDeadline = this->StopDeadline;
    return;
  case StopPhase::Draining:
    if (Now < this->PhaseDeadline && this->hasPendingRequests())
      return;
    this->Distribution->leave();
    this->Stopping = StopPhase::Ending;
    this->PhaseDeadline = Now + SessionEndTime;
    return;
  case StopPhase::Ending:
    if (Now < this->PhaseDeadline)
      return;
    logFor("node")->info(
        "Planned stop complete; {} calls at the entry and {} at "
        "the gate are aborted.",
        this->Entry->inFlightRequests(), this->Gate->inFlightRequests());
    this->Loop.stop();
    return;
  }
}

// A caller may send a request on any connection that it keeps open, so the stop
// also waits until the server has closed these connections.
bool NodeProcess::hasPendingRequests() const {
  return this->Gate->inFlightRequests() > 0 ||
         this->Entry->inFlightRequests() > 0 ||
         this->CallerServer->connections() > 0;
}

Json NodeProcess::dump() const {
  return {{"node", this->Settings.Name.str()},
          {"zone", this->Settings.Zone.str()},
          {"incarnation", this->Identity.Start.value()},
          {"distribution", this->Distribution->dump()},
          {"entry", this->Entry->dump()},
          {"gate", this->Gate->dump()},
          {"claims_held", this->Claims->held()},
          {"moves", this->Observer.dump()},
          {"metrics", this->Registry.toJson()}};
}

void NodeProcess::updateGauges() {
  const EntryCounters &Calls = this->Entry->counters();
  this->Registry.counter("calls_total") = Calls.Calls;
  this->Registry.counter("attempts_total") = Calls.Attempts;
  this->Registry.counter("retries_total") = Calls.Retries;
  this->Registry.counter("baseline_retries_total") = Calls.BaselineRetries;
  this->Registry.counter("call_outcomes_total{outcome=\"answered\"}") =
      Calls.Answered;
  this->Registry.counter("call_outcomes_total{outcome=\"not-run\"}") =
      Calls.NotRun;
  this->Registry.counter("call_outcomes_total{outcome=\"unknown\"}") =
      Calls.Unknown;
  for (const auto &[Reason, Count] : this->Gate->refusals())
    this->Registry.counter("gate_refusals_total{reason=\"" + Reason + "\"}") =
        Count;
  this->Registry.gauge("entry_under_way") =
      static_cast<double>(this->Entry->inFlightRequests());
  this->Registry.gauge("gate_under_way") =
      static_cast<double>(this->Gate->inFlightRequests());
  this->Registry.gauge("revision_in_force") =
      static_cast<double>(this->Distribution->inForce().value());
  this->Registry.gauge("longest_loop_pause_seconds") =
      std::chrono::duration<double>(this->Loop.longestPause()).count();
}

} // namespace amaranthward
