#include "libproxy/entrycall.h"
#include "libproxy/attemptresult.h"

namespace amaranthward {

namespace {

constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int FirstServerError = 500;

} // namespace

EntryCall::EntryCall(EntryContext &Shared,
                     std::shared_ptr<ServerExchange> Exchange,
                     const RouteSpec &Route, CallClass Class, Deadline Until,
                     std::function<void(EntryCall *)> OnCallFinished)
    : Shared(Shared), Exchange(std::move(Exchange)), Route(Route), Class(Class),
      Until(Until), OnCallFinished(std::move(OnCallFinished)),
      Received(Shared.Loop.now()) {}

std::shared_ptr<EntryCall>
EntryCall::create(EntryContext &Shared,
                  std::shared_ptr<ServerExchange> Exchange,
                  const RouteSpec &Route, CallClass Class, Deadline Until,
                  std::function<void(EntryCall *)> OnCallFinished) {
  return std::shared_ptr<EntryCall>(new EntryCall(Shared, std::move(Exchange),
                                                  Route, Class, Until,
                                                  std::move(OnCallFinished)));
}

EntryCall::~EntryCall() { this->Shared.Loop.cancel(this->DeadlineTimer); }

void EntryCall::begin() {
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  this->DeadlineTimer = this->Shared.Loop.after(
      this->Until.left(this->Shared.Loop.now()), [Self] {
        if (auto Kept = Self.lock())
          Kept->giveUp(Outcome::NotRun, GatewayTimeout, "deadline");
      });
  const auto &Length = this->Exchange->request().BodyLength;
  this->BodyComplete = Length == std::uint64_t(0);
  bool WaitForBody =
      Length && *Length <= MaxBufferedRequestBytes && !this->BodyComplete;
  this->setExchangeHooks();
  if (!WaitForBody)
    this->firstAttempt();
}

void EntryCall::setExchangeHooks() {
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  ServerExchange::Hooks Hooks;
  Hooks.OnBody = [Self](std::string_view Data) {
    if (auto Kept = Self.lock())
      Kept->onRequestBody(Data);
  };
  Hooks.OnBodyEnd = [Self] {
    if (auto Kept = Self.lock())
      Kept->onRequestEnd();
  };
  Hooks.OnAborted = [Self] {
    if (auto Kept = Self.lock())
      Kept->onAborted();
  };
  Hooks.OnDrained = [Self] {
    auto Kept = Self.lock();
    if (!Kept || !Kept->CallerPaused)
      return;
    Kept->CallerPaused = false;
    if (Kept->Attempt)
      Kept->Attempt->pauseResponse(false);
  };
  this->Exchange->setHooks(std::move(Hooks));
}

void EntryCall::onRequestBody(std::string_view Data) {
  if (this->Held.size() + Data.size() <= MaxBufferedRequestBytes) {
    if (this->WholeBodyBuffered)
      this->Held.append(Data);
  } else if (this->WholeBodyBuffered) {
    this->WholeBodyBuffered = false;
    std::string().swap(this->Held);
  }
  // Reading is paused while there is no attempt and the body is not complete.
  if (this->Attempt && !this->AwaitsContinue && !this->Attempt->sendBody(Data))
    this->Exchange->pauseBody();
}

bool EntryCall::hasLargeBody() const {
  const auto &Length = this->Exchange->request().BodyLength;
  return !Length || *Length > MaxImmediateBodyBytes;
}

void EntryCall::onRequestEnd() {
  this->BodyComplete = true;
  if (!this->Started)
    this->firstAttempt();
  else if (this->Attempt && !this->AwaitsContinue)
    this->Attempt->finishBody();
}

void EntryCall::onAborted() {
  auto Self = this->shared_from_this();
  if (this->Attempt)
    this->Attempt->cancel();
  ++this->Shared.Counters.Cancelled;
  this->reportEnd("caller-left", 0, "");
  this->over();
}

bool EntryCall::keyed() const {
  return !this->Route.Idempotent &&
         this->Exchange->request().Headers.has(header::IdempotencyKey);
}

bool EntryCall::unproven() const {
  return this->Chosen && this->Shared.State.View &&
         candidateOf(*this->Shared.State.View, this->Route.Service) ==
             this->Chosen->Version;
}

void EntryCall::firstAttempt() {
  this->Started = true;
  if (auto *Budget = this->Shared.budget(this->Route.Service))
    Budget->recordCall(this->Shared.Loop.now());
  this->attemptAt(drawVersions(*this->Shared.State.View, this->Route.Service,
                               this->Shared.Limits, this->Shared.Random()));
}

void EntryCall::attemptAt(const std::vector<VersionName> &Versions) {
  this->Chosen.reset();
  Instant Now = this->Shared.Loop.now();
  for (const VersionName &Each : Versions) {
    this->Chosen = this->Shared.Directory.choose(
        this->Route.Service, Each, Now, this->Avoid,
        this->hasLargeBody() ? LocalityPreference::Strong
                             : LocalityPreference::Normal);
    if (this->Chosen)
      break;
  }
  if (!this->Chosen) {
    this->giveUp(Outcome::NotRun, Unavailable, "no-upstream");
    return;
  }
  this->Counted = true;
  this->Avoid.push_back(this->Chosen->Handle);
  this->AttemptStart = Now;
  this->Id = this->Shared.nextId();
  if (this->keyed() && this->Shared.Hooks.Claim)
    this->claim();
  else
    this->forward();
}

void EntryCall::forward() {
  ++this->UpstreamAttempts;
  ++this->Shared.Counters.Attempts;
  // An order that was passed on may have run although this process ends before
  // its outcome is known.
  if (!this->Route.Idempotent)
    this->logForward();
  this->Attempt = ForwardAttempt::create(
      this->Shared.Loop, this->Shared.Client, this->Chosen->Target.PeerAddress,
      this->forwardHead(this->Id, this->Chosen->Target), this->Route.Idempotent,
      this->attemptHooks());
  this->AwaitsContinue = this->hasLargeBody();
  this->Attempt->begin();
  if (!this->AwaitsContinue)
    this->sendBufferedBody();
  else if (!this->BodyComplete)
    this->Exchange->pauseBody();
}

HttpRequestHead EntryCall::forwardHead(const RequestId &RequestNumber,
                                       const Member &Gate) const {
  const HttpRequestHead &In = this->Exchange->request();
  Instant Now = this->Shared.Loop.now();
  HttpRequestHead Out{In.Method, In.Target, endToEnd(In.Headers),
                      In.BodyLength};
  Out.Headers.add(header::RequestId, RequestNumber.str());
  Out.Headers.add(header::Incarnation, std::to_string(Gate.Start.value()));
  Out.Headers.add(header::Revision,
                  std::to_string(this->Shared.State.Applied.value()));
  Out.Headers.add(header::Route, this->Route.Name.str());
  Out.Headers.add(header::Version, Gate.Version.str());
  Out.Headers.add(header::Class, toString(this->Class));
  if (this->hasLargeBody())
    Out.Headers.add("Expect", "100-continue");
  const HeaderNames &Names = this->Shared.Names;
  if (!Names.CallerService.empty())
    Out.Headers.set(Names.CallerService, this->Shared.OwnService.str());
  Out.Headers.add(header::DeadlineMs,
                  this->Until.forNextHop(Now).toHeader(Now));
  return Out;
}

ForwardAttempt::Hooks EntryCall::attemptHooks() {
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  ForwardAttempt::Hooks Hooks;
  Hooks.OnHead = [Self](const HttpResponseHead &Received) {
    if (auto Kept = Self.lock())
      Kept->onHead(Received);
  };
  Hooks.OnBody = [Self](std::string_view Data) {
    if (auto Kept = Self.lock())
      Kept->onBody(Data);
  };
  Hooks.OnContinue = [Self] {
    auto Kept = Self.lock();
    if (!Kept || !Kept->AwaitsContinue || !Kept->Attempt)
      return;
    Kept->AwaitsContinue = false;
    Kept->sendBufferedBody();
  };
  Hooks.OnEnd = [Self] {
    if (auto Kept = Self.lock())
      Kept->onEnd();
  };
  Hooks.OnFailed = [Self](const AttemptFailure &Failure) {
    if (auto Kept = Self.lock())
      Kept->onFailed(Failure);
  };
  Hooks.OnDrained = [Self] {
    if (auto Kept = Self.lock(); Kept && !Kept->BodyComplete)
      Kept->Exchange->resumeBody();
  };
  return Hooks;
}

void EntryCall::sendBufferedBody() {
  bool Room = this->Held.empty() || this->Attempt->sendBody(this->Held);
  if (this->BodyComplete)
    this->Attempt->finishBody();
  else if (Room)
    this->Exchange->resumeBody();
}

void EntryCall::onHead(const HttpResponseHead &Received) {
  if (!this->Attached)
    this->Shared.Directory.hintLoad(this->Route.Service, *this->Chosen,
                                    Received.Headers.get(header::Load),
                                    this->Shared.Loop.now());
  this->ResponseStatus = Received.Status;
  if (Received.Status >= FirstServerError && !this->Attached) {
    this->record(AttemptResult::Failure, false);
    AttemptFailure Failure{Outcome::Answered, Received.Status,
                           "upstream-failed"};
    this->Discarding = this->retry(AttemptOutcome::Failed, Failure);
    if (this->Discarding)
      return;
  }
  HttpResponseHead Out = Received;
  Out.Headers = endToEnd(Received.Headers);
  for (const char *Each : {header::Outcome, header::Reason, header::Load})
    if (Received.Headers.has(Each))
      Out.Headers.add(Each, Received.Headers.get(Each));
  this->HeadSent = true;
  this->Exchange->sendHead(Out);
}

void EntryCall::onBody(std::string_view Data) {
  if (!this->HeadSent || this->Exchange->sendBody(Data))
    return;
  this->CallerPaused = true;
  this->Attempt->pauseResponse(true);
}

void EntryCall::onEnd() {
  auto Self = this->shared_from_this();
  this->record(AttemptResult::Success, true);
  ++this->Shared.Counters.Answered;
  this->reportEnd(toString(Outcome::Answered), this->ResponseStatus, "");
  this->Exchange->finish();
  this->over();
}

void EntryCall::onFailed(const AttemptFailure &Failure) {
  auto Self = this->shared_from_this();
  this->record(resultOf(Failure), Failure.Known == Outcome::Unknown
                                      ? std::optional(false)
                                      : std::nullopt);
  this->Attempt.reset();
  if (Failure.Known != Outcome::NotRun)
    this->MayHaveRun = true;
  else
    this->NotRunAttemptId = this->Id;
  if (isRefusedByGate(Failure)) {
    --this->UpstreamAttempts;
    ++this->GateRefusals;
  }
  bool Final = this->HeadSent || this->Attached;
  auto Ended = Failure.Known == Outcome::NotRun ? AttemptOutcome::NotRun
                                                : AttemptOutcome::Unknown;
  if (Final || !this->retry(Ended, Failure))
    this->giveUp(Failure.Known, Failure.Status, Failure.Reason);
}

void EntryCall::record(AttemptResult Result, std::optional<bool> Ok) {
  if (!this->Counted)
    return;
  this->Counted = false;
  Instant Now = this->Shared.Loop.now();
  Duration Latency = Now - this->AttemptStart;
  this->Shared.Directory.finish(this->Route.Service, *this->Chosen, Result,
                                Latency, Now);
  if (Result == AttemptResult::Success)
    this->Shared.addTime(this->Route.Name, Latency, Now);
  if (Ok && this->Shared.Hooks.OnAttempt)
    this->Shared.Hooks.OnAttempt({this->Route.Service,
                                  this->Chosen->Target.Version,
                                  this->Route.Name, *Ok, Latency});
}

bool EntryCall::retry(AttemptOutcome Ended, const AttemptFailure &Failure) {
  Instant Now = this->Shared.Loop.now();
  RetryBudget *Budget = this->Shared.budget(this->Route.Service);
  RetryQuestion Question;
  Question.Outcome = Ended;
  Question.Idempotent = this->Route.Idempotent;
  Question.UnprovenVersion = this->unproven();
  Question.BaselineInBudget = this->Shared.RetryBound.has_value();
  Question.BaselineTried = this->BaselineTried;
  Question.BodyHeld = this->WholeBodyBuffered;
  Question.Leaving =
      Ended == AttemptOutcome::NotRun && isLeaving(Failure.Reason);
  Question.Attempts = this->UpstreamAttempts;
  if (this->Route.Attempts > 0)
    Question.AttemptLimit = this->Route.Attempts;
  Question.RefusedByGate = isRefusedByGate(Failure);
  Question.GateRefusals = this->GateRefusals;
  // A full gate stays full for the moment, so asking it again is in vain.
  Question.HasUntriedUpstream =
      !isFull(Failure.Reason) ||
      this->Shared.Directory.hasUntried(this->Route.Service,
                                        this->Chosen->Version, this->Avoid);
  Question.TimeLeft = this->Until.left(Now);
  Question.MinAttemptTime = this->Shared.minAttemptTime(this->Route.Name, Now);
  Question.BudgetLeft = Budget && Budget->available();
  RetryDecision Decision = retryDecision(Question);
  this->logAttemptEnd(toString(Failure.Known), Failure.Status, Failure.Reason,
                      Decision, Question.BudgetLeft);
  if (Decision.Action == RetryAction::Stop)
    return false;
  bool Counts = Decision.Action == RetryAction::Retry ||
                (Decision.Action == RetryAction::RetryOnBaseline &&
                 Question.BaselineInBudget);
  if (Counts && !Budget->trySpend(Now))
    return false;
  if (Ended == AttemptOutcome::Failed)
    this->MayHaveRun = true;
  if (auto Old = std::move(this->Attempt))
    Old->cancel();
  if (!this->BodyComplete)
    this->Exchange->pauseBody();
  ++this->Shared.Counters.Retries;
  const RoutingView &View = *this->Shared.State.View;
  std::vector<VersionName> Versions;
  if (Decision.Action == RetryAction::RetryOnBaseline) {
    this->BaselineTried = true;
    ++this->Shared.Counters.BaselineRetries;
    Versions = {baselineOf(View, this->Route.Service)};
  } else {
    Versions = drawVersions(View, this->Route.Service, this->Shared.Limits,
                            this->Shared.Random());
  }
  // Posted, because the attempt that ended is still calling.
  this->Shared.Loop.post([Self = this->shared_from_this(), Versions] {
    if (Self->Exchange)
      Self->attemptAt(Versions);
  });
  return true;
}

void EntryCall::checkIdleTimeout(Instant Now) {
  if (this->Attempt)
    this->Attempt->checkIdleTimeout(Now);
}

} // namespace amaranthward
