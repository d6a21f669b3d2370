#include "amaranthward/nodedistribution.h"

#include "libcore/eventlog.h"
#include "libcore/log.h"

namespace amaranthward {

namespace {

Member memberOf(const NodeSettings &Settings, Incarnation Start) {
  Member Self;
  Self.Node = Settings.Name;
  Self.Start = Start;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  Self.PeerAddress = Settings.Advertise.value_or(Settings.PeerListen);
  return Self;
}

// The name of a witness is its address in the settings.
std::vector<NodeName> witnessNames(const NodeSettings &Settings) {
  std::vector<NodeName> Names;
  for (const Endpoint &Address : Settings.Witnesses)
    Names.emplace_back(Address.str());
  return Names;
}

std::vector<ParentCandidate> witnessParents(const NodeSettings &Settings) {
  std::vector<ParentCandidate> Parents;
  for (const Endpoint &Address : Settings.Witnesses)
    Parents.push_back({NodeName(Address.str()), Address});
  return Parents;
}

} // namespace

NodeDistribution::NodeDistribution(EventLoop &Loop, HttpClient &Http,
                                   Metrics &Registry,
                                   const NodeSettings &Settings,
                                   Incarnation Start, Hooks NewHooks,
                                   DistributedState State, RevisionGuard Guard)
    : Loop(Loop), Http(Http), Registry(Registry), Settings(Settings),
      Start(Start), Callbacks(std::move(NewHooks)), State(std::move(State)),
      Guard(std::move(Guard)) {}

Result<std::unique_ptr<NodeDistribution>>
NodeDistribution::create(EventLoop &Loop, HttpClient &Client, Metrics &Registry,
                         const NodeSettings &Settings, Incarnation Start,
                         Hooks NewHooks) {
  auto State = DistributedState::create();
  if (!State)
    return tl::make_unexpected(State.error());
  RevisionGuardOptions GuardOptions;
  GuardOptions.Witnesses = witnessNames(Settings);
  auto Guard = RevisionGuard::create(std::move(GuardOptions), Loop.now());
  if (!Guard)
    return tl::make_unexpected(Guard.error());
  std::unique_ptr<NodeDistribution> Made(new NodeDistribution(
      Loop, Client, Registry, Settings, Start, std::move(NewHooks),
      std::move(*State), std::move(*Guard)));
  if (auto Built = Made->build(); !Built)
    return tl::make_unexpected(Built.error());
  return Made;
}

Result<void> NodeDistribution::build() {
  SyncTransport::Hooks TransportHooks;
  TransportHooks.OnResponse = [this](const SyncResponse &Response) {
    this->Client->onResponse(Response, this->Loop.now());
  };
  TransportHooks.OnProgress = [this](std::uint64_t Sequence) {
    this->Client->onProgress(Sequence, this->Loop.now());
  };
  TransportHooks.OnFailure = [this](std::uint64_t Sequence) {
    this->Client->onFailure(Sequence, this->Loop.now());
  };
  TransportHooks.OnRedirect = [this](std::uint64_t Sequence,
                                     const Endpoint &Leader) {
    this->Client->onRedirect(Sequence, Leader, this->Loop.now());
  };
  auto TransportMade = SyncTransport::create(this->Http, this->Registry,
                                             std::move(TransportHooks));
  if (!TransportMade)
    return tl::make_unexpected(TransportMade.error());
  this->Transport = std::move(*TransportMade);
  SyncClientOptions ClientOptions;
  ClientOptions.SilenceMargin = this->Settings.Sync.SilenceMargin;
  ClientOptions.Parents.MaxParentLag = this->Settings.Sync.MaxParentLag;
  SyncServerOptions ServerOptions;
  ServerOptions.Hold = this->Settings.Sync.Hold;
  auto ClientMade =
      SyncClient::create(this->State, memberOf(this->Settings, this->Start),
                         this->Settings.Control, witnessParents(this->Settings),
                         ClientOptions, this->clientHooks());
  if (!ClientMade)
    return tl::make_unexpected(ClientMade.error());
  this->Client = std::move(*ClientMade);
  auto ServerMade =
      SyncServer::create(this->State, ServerOptions, this->serverHooks());
  if (!ServerMade)
    return tl::make_unexpected(ServerMade.error());
  this->Server = std::move(*ServerMade);
  return {};
}

SyncClientHooks NodeDistribution::clientHooks() {
  SyncClientHooks Made;
  Made.Send = [this](const Endpoint &To, const SyncRequest &Request) {
    if (To != this->LoggedParent) {
      logFor("distribution")
          ->info("Sync parent is {} (previously {}: {}); revision {} is in "
                 "force.",
                 To.str(), this->LoggedParent.str(),
                 this->Client->parentChangeReason(), this->inForce().value());
      this->LoggedParent = To;
    }
    this->Transport->send(To, Request);
  };
  Made.CheckChanges = [this](const std::vector<ResourceUpdate> &Changes) {
    return this->prepare(Changes);
  };
  Made.MayApply = [this](const ClusterId &Cluster, Revision Next) {
    return this->Guard.mayApply(Cluster, Next);
  };
  Made.OnChunk = [this](const ClusterId &Cluster,
                        const std::optional<TableCursor> &Cursor,
                        const SharedChunk &Chunk) {
    this->Server->passOn(Cluster, Cursor, Chunk, this->Loop.now());
  };
  Made.OnChanged = [this](bool Replicated, bool Members) {
    this->onChanged(Replicated, Members);
  };
  Made.OnChainChanged = [this] {
    this->Server->announceChain(this->Loop.now());
  };
  Made.OnConfirmed = [this](const ClusterId &Cluster, Revision Current) {
    this->Guard.recordConfirmed(Cluster, Current);
    this->ConfirmedRevision = Current;
  };
  Made.Random = systemRandom();
  return Made;
}

SyncServerHooks NodeDistribution::serverHooks() {
  SyncServerHooks Made;
  Made.SourceAge = [this](Instant Now) { return this->Client->sourceAge(Now); };
  Made.Chain = [this] {
    std::vector<NodeName> Chain = this->Client->chain();
    Chain.insert(Chain.begin(), this->Settings.Name);
    return Chain;
  };
  Made.OnUplink = [this](Urgency How) {
    this->Client->addUplink(this->Server->takeUplink(), How, this->Loop.now());
  };
  Made.Random = systemRandom();
  return Made;
}

Result<void>
NodeDistribution::prepare(const std::vector<ResourceUpdate> &Changes) {
  const Instant Start = this->Loop.now();
  auto Prepared = this->View ? this->View->prepare(Changes)
                             : RoutingView::create({})->prepare(Changes);
  this->CheckTook = this->Loop.now() - Start;
  if (!Prepared)
    return tl::make_unexpected(Prepared.error());
  this->PreparedUpdate = std::move(*Prepared);
  return {};
}

void NodeDistribution::onChanged(bool Replicated, bool Members) {
  if (Replicated) {
    const Instant Start = this->Loop.now();
    if (!this->View)
      this->View = std::make_shared<RoutingView>(*RoutingView::create({}));
    this->View->commit(std::move(*this->PreparedUpdate));
    this->PreparedUpdate.reset();
    this->Guard.recordApplied(this->State.Cluster, this->inForce());
    this->InForceLog.push_back({this->inForce(), wallNow()});
    if (this->InForceLog.size() > MaxInForceLog)
      this->InForceLog.pop_front();
    logFor("config")->info("Revision {} is in force.", this->inForce().value());
    this->logTransfer(this->Loop.now() - Start);
  }
  if (Replicated || Members) {
    this->Server->wake(this->Loop.now());
    this->Callbacks.OnChanged();
  }
}

void NodeDistribution::logTransfer(Duration ViewTook) {
  const TransferReport &Last = this->Client->lastTransfer();
  const TransferCounters &Counts = this->Client->transfers();
  this->Registry.counter("sync_chunks_total") = Counts.Chunks;
  this->Registry.counter("sync_chunks_superseded_total") =
      Counts.SupersededChunks;
  this->Registry.counter("sync_transfer_restarts_total") = Counts.Restarts;
  LogFields Fields;
  Fields.add("revision", Last.Installed.value())
      .add("first_target", Last.FirstTarget.value())
      .add("parent", this->Client->parent().str())
      .add("chunks", Last.Chunks)
      .add("changes", Last.Changes)
      .add("took_ms", Last.Took)
      .add("check_ms", this->CheckTook)
      .add("view_ms", ViewTook)
      .add("superseded_chunks", Counts.SupersededChunks)
      .add("restarts", Counts.Restarts);
  logEvent("distribution", "installed", Fields, this->Loop.now());
}

void NodeDistribution::addPeerRoutes(HttpRouter &Router) {
  SyncEndpoint::Hooks Hooks;
  Hooks.Now = [this] { return this->Loop.now(); };
  Hooks.OnRequest = [this](const SyncRequest &Request,
                           SyncServer::Complete OnComplete) {
    this->Server->handle(Request, this->Loop.now(), std::move(OnComplete));
  };
  Hooks.OnAbandoned = [this](const NodeName &Node, std::uint64_t Sequence) {
    this->Server->abandon(Node, Sequence);
  };
  this->ChildEndpoint =
      *SyncEndpoint::create(this->Registry, "relay", std::move(Hooks));
  Router.post("/v1/sync", MaxJsonBodyBytes,
              [this](auto Exchange, std::string Body) {
                this->ChildEndpoint->serve(Exchange, Body);
              });
  Router.get("/v1/revision",
             [this](auto Exchange) { this->serveRevision(*Exchange); });
}

void NodeDistribution::serveRevision(ServerExchange &Exchange) const {
  respondJson(Exchange, 200,
              {{"node", this->Settings.Name.str()},
               {"cluster", this->State.Cluster.str()},
               {"revision", this->inForce().value()},
               {"safe", this->mayServe()}});
}

void NodeDistribution::queryWitnesses() {
  for (const Endpoint &Address : this->Settings.Witnesses) {
    HttpRequestHead Head;
    Head.Method = "GET";
    Head.Target = "/v1/revision";
    this->Http.call(Address, Head, "", WitnessTimeout, MaxJsonBodyBytes,
                    [this, Address](Result<HttpResponse> Answer) {
                      if (!Answer || Answer->Head.Status != 200)
                        return;
                      if (auto Value = parseJson(Answer->Body))
                        this->onWitnessAnswer(Address, *Value);
                    });
  }
}

void NodeDistribution::onWitnessAnswer(const Endpoint &From,
                                       const Json &Answer) {
  WitnessAnswer Parsed;
  Parsed.Cluster = ClusterId(textAt(Answer, "cluster"));
  Parsed.InForce = Revision(numberAt(Answer, "revision"));
  Parsed.Safe = boolAt(Answer, "safe");
  auto Accepted = this->Guard.recordWitnessAnswer(NodeName(From.str()), Parsed,
                                                  this->Loop.now());
  if (!Accepted)
    logFor("config")->warn("Answer of a witness is ignored: {}.",
                           Accepted.error().Message);
}

void NodeDistribution::start() {
  this->Client->requestConfirmation(true);
  this->Client->start(this->Loop.now());
}

void NodeDistribution::tick() {
  Instant Now = this->Loop.now();
  this->Client->tick(Now);
  this->Server->tick(Now);
  if (this->mayServe()) {
    this->Client->requestConfirmation(false);
  } else if (Now >= this->NextWitnessRound) {
    this->NextWitnessRound = Now + WitnessInterval;
    this->queryWitnesses();
  }
}

void NodeDistribution::announce(const Member &Self) {
  this->Client->announce(Self, this->Loop.now());
}

void NodeDistribution::leave() { this->Client->leave(this->Loop.now()); }

void NodeDistribution::observe(std::optional<Json> Counters) {
  bool IsReport = Counters.has_value();
  this->Client->observe(std::move(Counters));
  if (IsReport)
    this->Client->reportSoon(this->Loop.now());
}

std::vector<Member> NodeDistribution::members() const {
  return membersIn(this->State.Members.resources());
}

std::vector<DepartedMember> NodeDistribution::departed() const {
  return departedIn(this->State.Members.resources());
}

Json NodeDistribution::dump() const {
  Json Entries = Json::array();
  for (const InForceEntry &Entry : this->InForceLog) {
    auto Millis =
        std::chrono::duration<double, std::milli>(Entry.At.time_since_epoch());
    Entries.push_back(
        {{"revision", Entry.Number.value()}, {"at_ms", Millis.count()}});
  }
  const auto &Refused = this->Client->refusal();
  return {{"cluster", this->State.Cluster.str()},
          {"revision", this->inForce().value()},
          {"in_force_log", Entries},
          {"may_serve", this->mayServe()},
          {"wait_reason", this->waitReason()},
          {"refused", Refused ? Refused->Reason : ""},
          {"parent", this->Client->parent().str()},
          {"source_age_us", this->Client->sourceAge(this->Loop.now()).count()},
          {"children", this->Server->children()},
          {"members_version",
           {this->State.Members.current().Epoch,
            this->State.Members.current().Sequence}},
          {"members_complete", this->State.Members.complete()},
          {"members", this->State.Members.resources()},
          {"resources", this->State.Replicated.resources()}};
}

} // namespace amaranthward
