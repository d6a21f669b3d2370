#include "libproxy/execution.h"
#include "libpolicy/deadline.h"

namespace amaranthward {

namespace {

constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;
constexpr int FirstServerError = 500;

} // namespace

Execution::Execution(EventLoop &Loop, HttpClient &Client,
                     const HeaderNames &Names, ForwardedRequest Request,
                     bool Idempotent, Hooks NewHooks)
    : Loop(Loop), Client(Client), Names(Names), Request(std::move(Request)),
      Idempotent(Idempotent), Callbacks(std::move(NewHooks)) {}

std::shared_ptr<Execution>
Execution::create(EventLoop &Loop, HttpClient &Client, const HeaderNames &Names,
                  ForwardedRequest Request, bool Idempotent, Hooks NewHooks) {
  std::shared_ptr<Execution> Made(new Execution(Loop, Client, Names,
                                                std::move(Request), Idempotent,
                                                std::move(NewHooks)));
  Made->ArrivedAt = Loop.now();
  Made->ArrivedLag = Loop.eventLag();
  Made->DeadlineAt = Made->ArrivedAt + Made->Request.TimeLeft;
  std::weak_ptr<Execution> Self = Made;
  Made->DeadlineTimer = Loop.after(Made->Request.TimeLeft, [Self] {
    if (auto Kept = Self.lock())
      Kept->cancel(GatewayTimeout, "deadline");
  });
  return Made;
}

Execution::~Execution() {
  this->Loop.cancel(this->DeadlineTimer);
  this->Loop.cancel(this->GraceTimer);
  if (this->Upstream)
    this->Upstream->cancel();
}

void Execution::begin(std::shared_ptr<ServerExchange> First) {
  this->Source = First;
  this->RequestComplete = First->request().BodyLength == std::uint64_t(0);
  // The body is read only after admission, so that a refused request moves no
  // body bytes.
  if (!this->RequestComplete && this->Phase == State::Waiting)
    this->Source->pauseBody();
  this->addWaiter(std::move(First), true);
}

HttpRequestHead Execution::upstreamHead(const UpstreamAnnouncement &To,
                                        Instant Now) {
  const HttpRequestHead &In = this->Source->request();
  HttpRequestHead Out;
  Out.Method = In.Method;
  Out.Target = In.Target;
  Out.BodyLength = In.BodyLength;
  Out.Headers = endToEnd(In.Headers);
  Deadline Left = Deadline(this->DeadlineAt).forNextHop(Now);
  if (!this->Names.Deadline.empty())
    Out.Headers.set(this->Names.Deadline, this->Names.WholeMilliseconds
                                              ? Left.toWholeMilliseconds(Now)
                                              : Left.toHeader(Now));
  if (!this->Names.Class.empty())
    Out.Headers.set(this->Names.Class, In.Headers.get(header::Class));
  if (!this->Names.ExpectedInstance.empty()) {
    Out.Headers.remove(this->Names.ExpectedInstance);
    if (!To.Instance.empty())
      Out.Headers.add(this->Names.ExpectedInstance, To.Instance.str());
  }
  return Out;
}

void Execution::start(const UpstreamAnnouncement &To) {
  this->WasAdmitted = true;
  if (this->isAbandoned()) {
    this->cancel(BadGateway, "cancelled");
    return;
  }
  this->Phase = State::Running;
  this->WasStarted = true;
  Instant Now = this->Loop.now();
  this->StartedAt = Now;
  this->Instance = To.Instance;
  HttpRequestHead Out = this->upstreamHead(To, Now);
  this->SentHeaders = Out.Headers;
  this->RequestSentAt = Now;
  this->Upstream = this->Client.send(To.Address, Out, this->upstreamHooks());
  if (!this->RequestComplete)
    this->Source->resumeBody();
}

void Execution::onRequestBody(std::string_view Data) {
  if (this->Phase == State::Running && !this->Upstream->sendBody(Data))
    this->Source->pauseBody();
}

void Execution::onRequestEnd() {
  this->RequestComplete = true;
  this->RequestSentAt = this->Loop.now();
  if (this->Phase == State::Running)
    this->Upstream->finishBody();
}

ClientExchange::Hooks Execution::upstreamHooks() {
  std::weak_ptr<Execution> Self = this->weak_from_this();
  ClientExchange::Hooks Hooks;
  Hooks.OnHead = [Self](const HttpResponseHead &Received) {
    if (auto Kept = Self.lock())
      Kept->onHead(Received);
  };
  Hooks.OnBody = [Self](std::string_view Data) {
    if (auto Kept = Self.lock())
      Kept->onBody(Data);
  };
  Hooks.OnEnd = [Self] {
    if (auto Kept = Self.lock())
      Kept->onEnd();
  };
  Hooks.OnFailure = [Self](const ClientFailure &Failure) {
    if (auto Kept = Self.lock())
      Kept->onFailure(Failure);
  };
  Hooks.OnDrained = [Self] {
    auto Kept = Self.lock();
    if (Kept && Kept->Source && !Kept->RequestComplete)
      Kept->Source->resumeBody();
  };
  return Hooks;
}

void Execution::onHead(const HttpResponseHead &Received) {
  ResponseFault Fault = checkResponse(this->Names, this->SentHeaders, Received);
  if (Fault != ResponseFault::None)
    return this->onFault(Fault);
  this->UpstreamTime = this->Loop.now() - this->RequestSentAt;
  this->ResponseHead = Received;
  this->ResponseHead.Headers = endToEnd(Received.Headers);
  this->ResponseHead.Headers.set(header::Outcome, toString(Outcome::Answered));
  this->ResponseHead.Headers.set(header::Load, this->Callbacks.Load());
}

// The upstream connection is closed in each case, because later bytes on it may
// belong to another request.
void Execution::onFault(ResponseFault Fault) {
  auto Self = this->shared_from_this();
  switch (Fault) {
  case ResponseFault::None:
    return;
  case ResponseFault::NotExecuted:
    return this->finish(Outcome::NotRun, 503, reason::UpstreamRefused,
                        UpstreamResult::Cancelled);
  case ResponseFault::OtherInstance:
    return this->finish(Outcome::NotRun, 503, reason::UpstreamReplaced,
                        UpstreamResult::Cancelled);
  case ResponseFault::WrongRequest:
    return this->finish(Outcome::Unknown, BadGateway, "foreign-response",
                        UpstreamResult::Failure);
  case ResponseFault::Unsigned:
    return this->finish(Outcome::Unknown, BadGateway, "unsigned-response",
                        UpstreamResult::Failure);
  case ResponseFault::UnconfirmedNotRun:
    return this->finish(Outcome::Unknown, BadGateway, "false-promise",
                        UpstreamResult::Failure);
  }
}

void Execution::onBody(std::string_view Data) {
  if (this->Phase == State::Finished)
    return;
  if (this->ResponseKept)
    this->ResponseBody.append(Data);
  if (this->ResponseReleased) {
    for (Waiter &Each : this->Waiters)
      this->sendTo(Each, Data);
  } else if (this->ResponseBody.size() > MaxHeldResponseBytes) {
    this->releaseResponse();
  }
  if (this->ResponseBody.size() > MaxKeptResponseBytes)
    this->dropResponse();
  this->updateBackPressure();
}

void Execution::onEnd() {
  auto Self = this->shared_from_this();
  if (!this->ResponseReleased)
    this->releaseResponse();
  for (const Waiter &Each : std::exchange(this->Waiters, {}))
    Each.Exchange->finish();
  this->finish(Outcome::Answered, 0, "",
               this->ResponseHead.Status >= FirstServerError
                   ? UpstreamResult::Failure
                   : UpstreamResult::Success);
}

void Execution::onFailure(const ClientFailure &Failure) {
  auto Self = this->shared_from_this();
  if (!Failure.BytesSent)
    this->finish(Outcome::NotRun, 503, "upstream-unreachable",
                 UpstreamResult::Failure);
  else
    this->finish(Outcome::Unknown, BadGateway, "upstream-broke",
                 UpstreamResult::Failure);
}

void Execution::refuse(int Status, const std::string &Reason) {
  auto Self = this->shared_from_this();
  if (this->Phase == State::Waiting)
    this->finish(Outcome::NotRun, Status, Reason, UpstreamResult::Cancelled);
}

void Execution::cancel(int Status, const std::string &Reason) {
  auto Self = this->shared_from_this();
  if (this->Phase == State::Finished)
    return;
  bool MayHaveRun = this->Upstream && this->Upstream->bytesSent();
  this->finish(MayHaveRun ? Outcome::Unknown : Outcome::NotRun, Status, Reason,
               Reason == "deadline" ? UpstreamResult::Failure
                                    : UpstreamResult::Cancelled);
}

void Execution::finish(Outcome Ended, int Status, const std::string &Reason,
                       UpstreamResult Result) {
  this->Phase = State::Finished;
  this->FinalOutcome = Ended;
  this->FailureStatus = Status;
  this->FailureReason = Reason;
  if (this->Source)
    this->logEnd(Reason);
  this->Loop.cancel(this->DeadlineTimer);
  this->Loop.cancel(this->GraceTimer);
  if (auto Old = std::move(this->Upstream))
    Old->cancel();
  if (Ended != Outcome::Answered)
    this->dropResponse();
  for (const Waiter &Each : std::exchange(this->Waiters, {})) {
    if (Each.HeadSent)
      Each.Exchange->abort();
    else
      this->answerFailure(*Each.Exchange);
  }
  this->Source.reset();
  if (auto Notify = std::move(this->Callbacks.OnFinished))
    Notify(*this, Result, this->UpstreamTime);
}

} // namespace amaranthward
