#include "libproxy/forwardattempt.h"
#include <algorithm>

namespace amaranthward {

namespace {

constexpr int StatusContinue = 100;

} // namespace

ForwardAttempt::ForwardAttempt(EventLoop &Loop, HttpClient &Client,
                               Endpoint Gate, HttpRequestHead Head,
                               bool Idempotent, Hooks NewHooks)
    : Loop(Loop), Client(Client), Gate(std::move(Gate)), Head(std::move(Head)),
      Idempotent(Idempotent),
      Callbacks(std::make_shared<Hooks>(std::move(NewHooks))) {}

std::shared_ptr<ForwardAttempt>
ForwardAttempt::create(EventLoop &Loop, HttpClient &Client, Endpoint Gate,
                       HttpRequestHead Head, bool Idempotent, Hooks NewHooks) {
  return std::shared_ptr<ForwardAttempt>(
      new ForwardAttempt(Loop, Client, std::move(Gate), std::move(Head),
                         Idempotent, std::move(NewHooks)));
}

ForwardAttempt::~ForwardAttempt() { this->cancel(); }

void ForwardAttempt::begin() {
  this->LastActivity = this->Loop.now();
  this->Current =
      this->Client.send(this->Gate, this->Head, this->exchangeHooks());
}

void ForwardAttempt::beginAttached() {
  this->BytesSent = true;
  this->reattach();
}

bool ForwardAttempt::sendBody(std::string_view Data) {
  return this->Finished || this->Reattaches > 0 ||
         this->Current->sendBody(Data);
}

void ForwardAttempt::finishBody() {
  if (!this->Finished && this->Reattaches == 0)
    this->Current->finishBody();
}

void ForwardAttempt::pauseResponse(bool Pause) {
  if (this->Finished)
    return;
  this->Paused = Pause;
  this->LastActivity = this->Loop.now();
  if (Pause)
    this->Current->pauseBody();
  else
    this->Current->resumeBody();
}

void ForwardAttempt::cancel() {
  this->Finished = true;
  if (auto Old = std::move(this->Previous))
    Old->cancel();
  if (auto Old = std::move(this->Current))
    Old->cancel();
}

bool ForwardAttempt::mayHaveRun() const {
  return this->BytesSent || (this->Current && this->Current->bytesSent());
}

void ForwardAttempt::checkIdleTimeout(Instant Now) {
  if (this->Finished || this->Paused ||
      Now - this->LastActivity < GateIdleTimeout)
    return;
  auto Self = this->shared_from_this();
  if (!this->mayHaveRun()) {
    this->fail({Outcome::NotRun, 503, "gate-unreachable", true});
    return;
  }
  if (this->Idempotent && this->Reattaches >= MaxIdempotentReattaches) {
    this->fail({Outcome::Unknown, 502, "gate-silent", false});
    return;
  }
  this->reattach();
}

void ForwardAttempt::reattach() {
  ++this->Reattaches;
  ++this->Generation;
  this->BytesSent = true;
  this->LastActivity = this->Loop.now();
  this->BytesToSkip = this->BodyDelivered;
  this->Refusal.reset();
  if (this->Current) {
    if (this->Previous)
      this->Previous->cancel();
    this->Previous = std::move(this->Current);
  }
  HttpRequestHead AttachHead = this->Head;
  AttachHead.BodyLength = 0;
  AttachHead.Headers.set(header::Attach, "1");
  this->Current =
      this->Client.send(this->Gate, AttachHead, this->exchangeHooks(), true);
  if (this->Paused)
    this->Current->pauseBody();
}

ClientExchange::Hooks ForwardAttempt::exchangeHooks() {
  std::weak_ptr<ForwardAttempt> Self = this->weak_from_this();
  // A replaced exchange may still call its hooks; only the current one counts.
  auto LockIfCurrent = [Self, OwnGeneration = this->Generation] {
    auto Attempt = Self.lock();
    return Attempt && !Attempt->Finished && Attempt->Generation == OwnGeneration
               ? Attempt
               : nullptr;
  };
  ClientExchange::Hooks Hooks;
  Hooks.OnInterim = [LockIfCurrent](int Status) {
    auto Attempt = LockIfCurrent();
    if (!Attempt)
      return;
    Attempt->noteActivity();
    if (Status == StatusContinue && Attempt->Callbacks->OnContinue)
      Attempt->Callbacks->OnContinue();
  };
  Hooks.OnHead = [LockIfCurrent](const HttpResponseHead &Received) {
    if (auto Attempt = LockIfCurrent())
      Attempt->onHead(Received);
  };
  Hooks.OnBody = [LockIfCurrent](std::string_view Data) {
    if (auto Attempt = LockIfCurrent())
      Attempt->onBody(Data);
  };
  Hooks.OnEnd = [LockIfCurrent] {
    if (auto Attempt = LockIfCurrent())
      Attempt->onEnd();
  };
  Hooks.OnFailure = [LockIfCurrent](const ClientFailure &Failure) {
    if (auto Attempt = LockIfCurrent())
      Attempt->onBroken(Failure);
  };
  Hooks.OnDrained = [LockIfCurrent] {
    auto Attempt = LockIfCurrent();
    if (Attempt && Attempt->Callbacks->OnDrained)
      Attempt->Callbacks->OnDrained();
  };
  return Hooks;
}

void ForwardAttempt::noteActivity() {
  this->LastActivity = this->Loop.now();
  this->BreaksInARow = 0;
  if (auto Old = std::move(this->Previous))
    Old->cancel();
}

void ForwardAttempt::onHead(const HttpResponseHead &Received) {
  this->noteActivity();
  auto KnownOutcome = outcomeOf(Received.Headers);
  if (KnownOutcome != Outcome::Answered) {
    this->Refusal =
        AttemptFailure{KnownOutcome.value_or(Outcome::Unknown), Received.Status,
                       Received.Headers.get(header::Reason), false};
    if (!KnownOutcome)
      this->Refusal->Reason = "no-outcome";
    return;
  }
  if (this->HeadDelivered)
    return;
  this->HeadDelivered = true;
  this->Callbacks->OnHead(Received);
}

void ForwardAttempt::onBody(std::string_view Data) {
  this->noteActivity();
  if (this->Refusal)
    return;
  auto SkippedBytes = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->BytesToSkip, Data.size()));
  this->BytesToSkip -= SkippedBytes;
  Data.remove_prefix(SkippedBytes);
  if (Data.empty())
    return;
  this->BodyDelivered += Data.size();
  this->Callbacks->OnBody(Data);
}

void ForwardAttempt::onEnd() {
  auto Self = this->shared_from_this();
  this->noteActivity();
  if (this->Refusal) {
    this->fail(*this->Refusal);
    return;
  }
  if (this->BytesToSkip > 0) {
    this->fail({Outcome::Unknown, 502, "response-changed", false});
    return;
  }
  this->Finished = true;
  this->Callbacks->OnEnd();
}

void ForwardAttempt::onBroken(const ClientFailure &Failure) {
  auto Self = this->shared_from_this();
  if (!Failure.BytesSent && !this->BytesSent) {
    this->fail({Outcome::NotRun, 503, "gate-unreachable", true});
    return;
  }
  // A refused connection means that the gate process has ended.
  bool GateDown =
      !Failure.BytesSent && Failure.Cause.Code == ErrorCode::Unavailable;
  bool ReattachesUsedUp =
      this->Idempotent && this->Reattaches >= MaxIdempotentReattaches;
  if (GateDown || ReattachesUsedUp ||
      ++this->BreaksInARow > MaxConsecutiveBreaks) {
    this->fail({Outcome::Unknown, 502, "gate-unreachable", GateDown});
    return;
  }
  this->reattach();
}

void ForwardAttempt::fail(const AttemptFailure &Failure) {
  this->cancel();
  if (this->Callbacks->OnFailed)
    this->Callbacks->OnFailed(Failure);
}

} // namespace amaranthward
