#include "libproxy/gaterole.h"

namespace amaranthward {

namespace {

constexpr int Unavailable = 503;
constexpr int BadGateway = 502;

} // namespace

GateRole::GateRole(EventLoop &Loop, HttpClient &Client, GateOptions Options,
                   GateHooks Hooks)
    : Loop(Loop), Client(Client), Options(std::move(Options)),
      Hooks(std::move(Hooks)), Created(Loop.now()) {
  this->Ticker = Loop.every(this->Options.Heartbeat, [this] { this->tick(); });
}

Result<std::unique_ptr<GateRole>> GateRole::create(EventLoop &Loop,
                                                   HttpClient &Client,
                                                   GateOptions Options,
                                                   GateHooks Hooks) {
  if (Options.Self.Node.empty())
    return fail(ErrorCode::InvalidArgument,
                "GateOptions::Self.Node must not be empty");
  if (Options.Heartbeat <= Duration(0))
    return fail(ErrorCode::InvalidArgument,
                "GateOptions::Heartbeat must be positive");
  return std::unique_ptr<GateRole>(
      new GateRole(Loop, Client, std::move(Options), std::move(Hooks)));
}

GateRole::~GateRole() {
  this->Loop.cancel(this->Ticker);
  this->Loop.cancel(this->WakeTimer);
  auto Running = std::move(this->InFlightRequests);
  this->InFlightRequests.clear();
  for (const auto &[Id, Each] : Running)
    Each->cancel(BadGateway, "stopped");
}

void GateRole::update(const ProxyState &NewState) {
  this->State = NewState;
  bool OutOfService = this->State.View &&
                      !this->State.View->zoneInService(this->Options.Self.Zone);
  if (OutOfService != this->OwnZoneOutOfService && this->Admission) {
    if (OutOfService)
      this->Admission->leave(this->Loop.now());
    else if (!this->Current->Leaving)
      this->Admission->restore(this->Loop.now());
    this->scheduleWake();
  }
  this->OwnZoneOutOfService = OutOfService;
  this->updateAdmission();
  if (!this->Current || !this->InFlightRequests.empty())
    return;
  // New limits of the configuration also apply to an upstream that announced
  // itself earlier. A warm upstream keeps its settings, because a new admission
  // control would lose its measurements.
  AdmissionSettings Wanted = this->admissionSettings();
  bool Changed = Wanted.Slots != this->Limits.Slots ||
                 Wanted.Queue != this->Limits.Queue ||
                 Wanted.WarmUp != this->Limits.WarmUp;
  if (Changed &&
      this->Admission->status(this->Loop.now()).Phase == WarmthPhase::Cold) {
    this->createAdmission();
    this->updateAdmission();
    if (OutOfService || this->Current->Leaving)
      this->Admission->leave(this->Loop.now());
  }
}

void GateRole::handle(std::shared_ptr<ServerExchange> Exchange) {
  auto Request = parseForwarded(Exchange->request().Headers);
  if (!Request) {
    this->refuse(*Exchange, 400, Outcome::NotRun, Request.error().Message);
    return;
  }
  bool SameStart = Request->ExpectedGate == this->Options.Self.Start;
  if (Request->Attach && !SameStart)
    this->refuse(*Exchange, BadGateway, Outcome::Unknown, "gate-restarted");
  else if (!SameStart)
    this->refuse(*Exchange, Unavailable, Outcome::NotRun, "gate-restarted");
  else if (auto Existing = this->Table.find(Request->Id))
    Existing->attach(Exchange);
  else if (Request->Attach && Request->Keyed)
    this->awaitArrival(*Request, Exchange,
                       this->Loop.now() + this->Options.KeyedArrivalWait);
  else if (Request->Attach)
    this->attach(*Request, Exchange);
  else
    this->admit(std::move(*Request), std::move(Exchange));
}

void GateRole::awaitArrival(const ForwardedRequest &Request,
                            const std::shared_ptr<ServerExchange> &Exchange,
                            Instant Until) {
  if (auto Existing = this->Table.find(Request.Id))
    return Existing->attach(Exchange);
  if (this->Loop.now() >= Until)
    return this->attach(Request, Exchange);
  std::weak_ptr<bool> Lifetime = this->LifetimeToken;
  this->Loop.after(ArrivalCheck, [this, Lifetime, Request, Exchange, Until] {
    if (!Lifetime.expired())
      this->awaitArrival(Request, Exchange, Until);
  });
}

void GateRole::attach(const ForwardedRequest &Request,
                      const std::shared_ptr<ServerExchange> &Exchange) {
  // The request may still be in transit; block() makes sure that it is refused
  // when it arrives.
  if (this->Table.block(Request.Id, this->Loop.now()))
    this->refuse(*Exchange, Unavailable, Outcome::NotRun, "never-arrived");
  else
    this->refuse(*Exchange, BadGateway, Outcome::Unknown, "forgotten");
}

std::string GateRole::refusal(const ForwardedRequest &Request) const {
  if (this->Table.blocked(Request.Id))
    return "given-up";
  if (this->Draining)
    return "leaving";
  if (!this->Current)
    return "no-upstream";
  if (this->Current->Leaving)
    return "leaving";
  // Without a configuration the call rate limit of a cold upstream is unknown.
  if (!this->State.View &&
      this->Current->ColdFor.value_or(Duration(0)) > Duration(0))
    return "no-configuration";
  if (Request.Version != this->Current->Version)
    return "other-version";
  if (!this->State.View || this->State.Applied <= Request.SenderRevision)
    return "";
  if (this->OwnZoneOutOfService)
    return "zone-out";
  return this->isVersionWithdrawn(Request.Version) ? "version-out" : "";
}

bool GateRole::isVersionWithdrawn(const VersionName &Version) const {
  const ServiceName &Service = this->Current->Service;
  if (this->State.View->isBad(Service, Version))
    return true;
  if (this->State.View->hasAnnouncedVersions(Service) &&
      this->State.View->split(Service).empty())
    return false;
  // The baseline of an open move takes retries even at a share of 0.
  const Json *Move = this->State.View->openMove(Service);
  if (Move && textAt(*Move, "baseline") == Version.str())
    return false;
  const auto &Split = this->State.View->split(Service);
  auto Found = Split.find(Version);
  return Found == Split.end() || Found->second == Share::none();
}

void GateRole::admit(ForwardedRequest Request,
                     std::shared_ptr<ServerExchange> Exchange) {
  if (std::string Reason = this->refusal(Request); !Reason.empty()) {
    this->refuseOnArrival(Request, *Exchange, Reason);
    return;
  }
  const RouteSpec *Route =
      this->State.View ? this->State.View->route(Request.Route) : nullptr;
  bool Idempotent = Route && Route->Idempotent;
  Instant Now = this->Loop.now();
  AdmissionActions Actions;
  AdmissionRequest Wanted;
  Wanted.Class = Request.Class;
  Wanted.Deadline = Now + Request.TimeLeft;
  Wanted.Route = Request.Route;
  Wanted.Cancellable = Idempotent;
  if (Route) {
    Wanted.Rank = Route->Priority;
    if (Route->Objective > Duration::zero())
      Wanted.Objective = Now + Route->Objective;
  }
  AdmissionDecision Decision = this->Admission->request(Wanted, Now, Actions);
  if (Decision.Verdict == AdmissionVerdict::Refuse) {
    this->refuseOnArrival(Request, *Exchange, toString(Decision.Reason));
  } else {
    Execution::Hooks Callbacks;
    Callbacks.OnFinished = [this](Execution &Ended, UpstreamResult Result,
                                  std::optional<Duration> Time) {
      this->onFinished(Ended, Result, Time);
    };
    Callbacks.Load = [this] { return this->load(); };
    auto Made =
        Execution::create(this->Loop, this->Client, this->Options.Names,
                          std::move(Request), Idempotent, std::move(Callbacks));
    Made->Ticket = Decision.Ticket;
    Made->StatusAtAdmission = this->Admission->status(Now);
    Made->RevisionAtAdmission = this->State.Applied;
    this->Tickets[Decision.Ticket] = Made;
    this->InFlightRequests[Made->request().Id] = Made;
    this->Table.add(Made);
    ++this->Admitted;
    Made->begin(std::move(Exchange));
    if (Decision.Verdict == AdmissionVerdict::Admit)
      this->startExecution(*Made);
    else
      ++this->Queued;
  }
  this->apply(Actions);
  this->scheduleWake();
}

void GateRole::refuseOnArrival(const ForwardedRequest &Request,
                               ServerExchange &Exchange,
                               const std::string &Reason) {
  ++this->Refusals[Reason];
  this->logRefusal(Request, Exchange.request().Headers, Reason);
  this->refuse(Exchange, Unavailable, Outcome::NotRun, Reason);
}

void GateRole::refuse(ServerExchange &Exchange, int Status,
                      Outcome KnownOutcome, const std::string &Reason) const {
  HttpHeaders Extra = outcomeFields(KnownOutcome, Reason);
  if (this->Admission)
    Extra.add(header::Load, this->load());
  respond(Exchange, Status, "text/plain", "", std::move(Extra));
}

void GateRole::onFinished(Execution &Ended, UpstreamResult Result,
                          std::optional<Duration> UpstreamTime) {
  if (this->Hooks.OnExecuted)
    this->Hooks.OnExecuted(Ended.waited(), UpstreamTime);
  Instant Now = this->Loop.now();
  Duration KeyedRetention = MeshLimits().IdempotencyRetention;
  if (this->State.View)
    KeyedRetention = this->State.View->limits().IdempotencyRetention;
  this->Table.finished(Ended, KeyedRetention, Now);
  this->InFlightRequests.erase(Ended.request().Id);
  auto Found = this->Tickets.find(Ended.Ticket);
  if (Found == this->Tickets.end() || Found->second.get() != &Ended)
    return;
  this->Tickets.erase(Found);
  if (Ended.admitted())
    this->apply(
        this->Admission->complete(Ended.Ticket, Result, UpstreamTime, Now));
  else if (Result == UpstreamResult::Cancelled)
    this->Admission->cancelQueued(Ended.Ticket);
  else
    this->apply(this->Admission->advance(Now));
  this->scheduleWake();
}

void GateRole::apply(const AdmissionActions &Actions) {
  auto FindExecution = [this](AdmissionTicket Ticket) {
    auto Found = this->Tickets.find(Ticket);
    return Found == this->Tickets.end() ? nullptr : Found->second;
  };
  for (AdmissionTicket Each : Actions.Start) {
    auto Waiting = FindExecution(Each);
    if (Waiting && this->Current)
      this->startExecution(*Waiting);
    else if (this->Admission)
      this->Admission->complete(Each, UpstreamResult::Cancelled, std::nullopt,
                                this->Loop.now());
  }
  for (const AdmissionActions::Refusal &Each : Actions.Refused)
    if (auto Waiting = FindExecution(Each.Ticket)) {
      ++this->Refusals[toString(Each.Reason)];
      Waiting->refuse(Unavailable, toString(Each.Reason));
    }
  for (AdmissionTicket Each : Actions.Cancel)
    if (auto Running = FindExecution(Each))
      Running->cancel(Unavailable, "cold");
}

void GateRole::startExecution(Execution &Admitted) {
  Admitted.start(*this->Current);
  if (Admitted.started())
    this->LastStart = this->Loop.now();
}

void GateRole::scheduleWake() {
  this->Loop.cancel(this->WakeTimer);
  std::optional<Instant> Next =
      this->Admission ? this->Admission->nextWake() : std::nullopt;
  if (!Next)
    return;
  this->WakeTimer = this->Loop.after(*Next - this->Loop.now(), [this] {
    if (this->Admission)
      this->apply(this->Admission->advance(this->Loop.now()));
    this->scheduleWake();
  });
}

void GateRole::drain() { this->Draining = true; }

void GateRole::tick() {
  Instant Now = this->Loop.now();
  if (this->Current &&
      Now - this->LastAnnounced > this->Options.AnnouncementTimeout)
    this->withdraw();
  for (const auto &[Id, Each] : this->InFlightRequests)
    Each->sendHeartbeats();
  this->Table.expire(Now);
}

std::string GateRole::load() const {
  if (!this->Admission)
    return "0/0";
  AdmissionStatus Status = this->Admission->status(this->Loop.now());
  return std::to_string(Status.InFlight + Status.Queued) + "/" +
         std::to_string(Status.Limit);
}

Json GateRole::dump() const {
  Json All = {{"under_way", this->inFlightRequests()},
              {"admitted", this->Admitted},
              {"waited", this->Queued},
              {"refusals", this->Refusals},
              {"draining", this->Draining},
              {"zone_out", this->OwnZoneOutOfService},
              {"requests_known", this->Table.size()},
              {"response_bytes_kept", this->Table.responseBytes()}};
  if (this->Current)
    All["upstream"] = {{"service", this->Current->Service.str()},
                       {"version", this->Current->Version.str()},
                       {"address", this->Current->Address.str()},
                       {"slots", this->Current->Slots},
                       {"leaving", this->Current->Leaving}};
  if (this->Admission) {
    AdmissionStatus Status = this->Admission->status(this->Loop.now());
    All["admission"] = {{"limit", Status.Limit},
                        {"in_flight", Status.InFlight},
                        {"queued", Status.Queued},
                        {"cold_again", Status.ColdDetections}};
  }
  return All;
}

} // namespace amaranthward
