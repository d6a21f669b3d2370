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
      Received(Shared.Loop.now()), ReceivedLag(Shared.Loop.eventLag()) {}

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
        if (auto Call = Self.lock())
          Call->onDeadline();
      });
  const auto &Length = this->Exchange->request().BodyLength;
  this->BodyComplete = Length == std::uint64_t(0);
  bool WaitForBody =
      Length && *Length <= MaxBufferedRequestBytes && !this->BodyComplete;
  this->setExchangeHooks();
  if (!WaitForBody)
    this->firstAttempt();
}

// A loop that is late may find the deadline and the response of the gate at the
// same time, so sockets are read once more before the call is given up.
void EntryCall::onDeadline() {
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  this->DeadlineTimer = this->Shared.Loop.after(Duration(0), [Self] {
    if (auto Call = Self.lock())
      Call->giveUp(Outcome::NotRun, GatewayTimeout, "deadline");
  });
}

void EntryCall::setExchangeHooks() {
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  ServerExchange::Hooks Hooks;
  Hooks.OnBody = [Self](std::string_view Data) {
    if (auto Call = Self.lock())
      Call->onRequestBody(Data);
  };
  Hooks.OnBodyEnd = [Self] {
    if (auto Call = Self.lock())
      Call->onRequestEnd();
  };
  Hooks.OnAborted = [Self] {
    if (auto Call = Self.lock())
      Call->onAborted();
  };
  Hooks.OnDrained = [Self] {
    auto Call = Self.lock();
    if (!Call || !Call->CallerPaused)
      return;
    Call->CallerPaused = false;
    if (Call->Attempt)
      Call->Attempt->pauseResponse(false);
  };
  this->Exchange->setHooks(std::move(Hooks));
}

void EntryCall::onRequestBody(std::string_view Data) {
  if (this->BufferedBody.size() + Data.size() <= MaxBufferedRequestBytes) {
    if (this->WholeBodyBuffered)
      this->BufferedBody.append(Data);
  } else if (this->WholeBodyBuffered) {
    this->WholeBodyBuffered = false;
    std::string().swap(this->BufferedBody);
  }
  // Without an attempt, reading is paused until the body is complete.
  if (this->Attempt && !this->AwaitsContinue && !this->Attempt->sendBody(Data))
    this->Exchange->pauseBody();
}

bool EntryCall::hasLargeBody() const {
  const auto &Length = this->Exchange->request().BodyLength;
  return !Length || *Length > MaxImmediateBodyBytes;
}

void EntryCall::onRequestEnd() {
  this->BodyComplete = true;
  if (!this->FirstAttemptStarted)
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
  this->complete();
}

bool EntryCall::isKeyedNonIdempotent() const {
  return !this->Route.Idempotent &&
         this->Exchange->request().Headers.has(header::IdempotencyKey);
}

bool EntryCall::isOnCandidate() const {
  return this->Chosen && this->Shared.State.View &&
         candidateOf(*this->Shared.State.View, this->Route.Service) ==
             this->Chosen->Version;
}

void EntryCall::firstAttempt() {
  this->FirstAttemptStarted = true;
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
        this->Route.Service, Each, Now, this->TriedUpstreams,
        this->hasLargeBody() ? LocalityPreference::Strong
                             : LocalityPreference::Normal);
    if (this->Chosen)
      break;
  }
  if (!this->Chosen) {
    this->giveUp(Outcome::NotRun, Unavailable, "no-upstream");
    return;
  }
  this->CountedInFlight = true;
  this->TriedUpstreams.push_back(this->Chosen->Handle);
  this->AttemptStart = Now;
  this->Id = this->Shared.nextId();
  if (this->isKeyedNonIdempotent() && this->Shared.Hooks.Claim)
    this->claim();
  else
    this->forward();
}

void EntryCall::forward() {
  if (this->Exchange->peerLeft()) {
    this->releaseClaim();
    this->onAborted();
    return;
  }
  ++this->UpstreamAttempts;
  ++this->Shared.Counters.Attempts;
  // Logged in advance, because a non-idempotent request may have run even if
  // this process ends before the outcome is known.
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
    if (auto Call = Self.lock())
      Call->onHead(Received);
  };
  Hooks.OnBody = [Self](std::string_view Data) {
    if (auto Call = Self.lock())
      Call->onBody(Data);
  };
  Hooks.OnContinue = [Self] {
    auto Call = Self.lock();
    if (!Call || !Call->AwaitsContinue || !Call->Attempt)
      return;
    Call->AwaitsContinue = false;
    Call->sendBufferedBody();
  };
  Hooks.OnEnd = [Self] {
    if (auto Call = Self.lock())
      Call->onEnd();
  };
  Hooks.OnFailed = [Self](const AttemptFailure &Failure) {
    if (auto Call = Self.lock())
      Call->onFailed(Failure);
  };
  Hooks.OnDrained = [Self] {
    if (auto Call = Self.lock(); Call && !Call->BodyComplete)
      Call->Exchange->resumeBody();
  };
  return Hooks;
}

void EntryCall::sendBufferedBody() {
  bool Writable =
      this->BufferedBody.empty() || this->Attempt->sendBody(this->BufferedBody);
  if (this->BodyComplete)
    this->Attempt->finishBody();
  else if (Writable)
    this->Exchange->resumeBody();
}

void EntryCall::onHead(const HttpResponseHead &Received) {
  if (!this->AttachedToEarlier)
    this->Shared.Directory.hintLoad(this->Route.Service, *this->Chosen,
                                    Received.Headers.get(header::Load),
                                    this->Shared.Loop.now());
  this->ResponseStatus = Received.Status;
  if (Received.Status >= FirstServerError && !this->AttachedToEarlier) {
    this->record(AttemptResult::Failure, false);
    AttemptFailure Failure{Outcome::Answered, Received.Status,
                           "upstream-failed"};
    this->DiscardingResponse = this->retry(AttemptOutcome::Failed, Failure);
    if (this->DiscardingResponse)
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
  this->complete();
}

void EntryCall::onFailed(const AttemptFailure &Failure) {
  auto Self = this->shared_from_this();
  this->record(resultOf(Failure), Failure.KnownOutcome == Outcome::Unknown
                                      ? std::optional(false)
                                      : std::nullopt);
  this->Attempt.reset();
  if (Failure.KnownOutcome != Outcome::NotRun)
    this->EarlierMayHaveRun = true;
  else
    this->NotRunAttemptId = this->Id;
  if (isRefusedByGate(Failure)) {
    --this->UpstreamAttempts;
    ++this->GateRefusals;
  }
  bool CannotRetry = this->HeadSent || this->AttachedToEarlier;
  auto Ended = Failure.KnownOutcome == Outcome::NotRun
                   ? AttemptOutcome::NotRun
                   : AttemptOutcome::Unknown;
  if (CannotRetry || !this->retry(Ended, Failure))
    this->giveUp(Failure.KnownOutcome, Failure.Status, Failure.Reason);
}

void EntryCall::record(AttemptResult Result, std::optional<bool> UpstreamOk) {
  if (!this->CountedInFlight)
    return;
  this->CountedInFlight = false;
  Instant Now = this->Shared.Loop.now();
  Duration Latency = Now - this->AttemptStart;
  this->Shared.Directory.finish(this->Route.Service, *this->Chosen, Result,
                                Latency, Now);
  if (Result == AttemptResult::Success)
    this->Shared.addTime(this->Route.Name, Latency, Now);
  if (UpstreamOk && this->Shared.Hooks.OnAttempt)
    this->Shared.Hooks.OnAttempt({this->Route.Service,
                                  this->Chosen->Target.Version,
                                  this->Route.Name, *UpstreamOk, Latency});
}

bool EntryCall::retry(AttemptOutcome Ended, const AttemptFailure &Failure) {
  Instant Now = this->Shared.Loop.now();
  RetryBudget *Budget = this->Shared.budget(this->Route.Service);
  RetryInputs Question;
  Question.Outcome = Ended;
  Question.Idempotent = this->Route.Idempotent;
  Question.UnprovenVersion = this->isOnCandidate();
  Question.BaselineInBudget = this->Shared.RetryBound.has_value();
  Question.BaselineTried = this->BaselineTried;
  Question.BodyBuffered = this->WholeBodyBuffered;
  Question.Leaving =
      Ended == AttemptOutcome::NotRun && isLeaving(Failure.Reason);
  Question.Attempts = this->UpstreamAttempts;
  if (this->Route.Attempts > 0)
    Question.AttemptLimit = this->Route.Attempts;
  Question.RefusedByGate = isRefusedByGate(Failure);
  Question.GateRefusals = this->GateRefusals;
  // A gate that refused for lack of capacity would refuse again at once.
  Question.HasUntriedUpstream =
      !isFull(Failure.Reason) ||
      this->Shared.Directory.hasUntried(
          this->Route.Service, this->Chosen->Version, this->TriedUpstreams);
  Question.TimeLeft = this->Until.left(Now);
  Question.MinAttemptTime = this->Shared.minAttemptTime(this->Route.Name, Now);
  Question.BudgetLeft = Budget && Budget->available();
  RetryDecision Decision = decideRetry(Question);
  this->logAttemptEnd(toString(Failure.KnownOutcome), Failure.Status,
                      Failure.Reason, Decision, Question.BudgetLeft);
  if (Decision.Action == RetryAction::Stop)
    return false;
  bool CountsAgainstBudget = Decision.Action == RetryAction::Retry ||
                             (Decision.Action == RetryAction::RetryOnBaseline &&
                              Question.BaselineInBudget);
  if (CountsAgainstBudget && !Budget->trySpend(Now))
    return false;
  if (Ended == AttemptOutcome::Failed)
    this->EarlierMayHaveRun = true;
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
  // Posted, because the hook of the attempt that ended is still on the stack.
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
