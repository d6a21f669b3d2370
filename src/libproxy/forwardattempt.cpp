#include "libproxy/forwardattempt.h"
#include <algorithm>

namespace amaranthward {

namespace {

constexpr int Continue = 100;

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
  this->LastHeard = this->Loop.now();
  this->Current =
      this->Client.send(this->Gate, this->Head, this->exchangeHooks());
}

void ForwardAttempt::beginAttached() {
  this->BytesSent = true;
  this->reattach();
}

bool ForwardAttempt::sendBody(std::string_view Data) {
  return this->Over || this->Attaches > 0 || this->Current->sendBody(Data);
}

void ForwardAttempt::finishBody() {
  if (!this->Over && this->Attaches == 0)
    this->Current->finishBody();
}

void ForwardAttempt::pauseResponse(bool NowPaused) {
  if (this->Over)
    return;
  this->Paused = NowPaused;
  this->LastHeard = this->Loop.now();
  if (NowPaused)
    this->Current->pauseBody();
  else
    this->Current->resumeBody();
}

void ForwardAttempt::cancel() {
  this->Over = true;
  if (auto Old = std::move(this->Previous))
    Old->cancel();
  if (auto Old = std::move(this->Current))
    Old->cancel();
}

bool ForwardAttempt::mayHaveRun() const {
  return this->BytesSent || (this->Current && this->Current->bytesSent());
}

void ForwardAttempt::checkIdleTimeout(Instant Now) {
  if (this->Over || this->Paused || Now - this->LastHeard < GateIdleTimeout)
    return;
  auto Self = this->shared_from_this();
  if (!this->mayHaveRun()) {
    this->fail({Outcome::NotRun, 503, "gate-unreachable", true});
    return;
  }
  if (this->Idempotent && this->Attaches >= MaxIdempotentReattaches) {
    this->fail({Outcome::Unknown, 502, "gate-silent", false});
    return;
  }
  this->reattach();
}

void ForwardAttempt::reattach() {
  ++this->Attaches;
  ++this->Generation;
  this->BytesSent = true;
  this->LastHeard = this->Loop.now();
  this->Skip = this->BodyDelivered;
  this->Refusal.reset();
  if (this->Current) {
    if (this->Previous)
      this->Previous->cancel();
    this->Previous = std::move(this->Current);
  }
  HttpRequestHead Ask = this->Head;
  Ask.BodyLength = 0;
  Ask.Headers.set(header::Attach, "1");
  this->Current =
      this->Client.send(this->Gate, Ask, this->exchangeHooks(), true);
  if (this->Paused)
    this->Current->pauseBody();
}

ClientExchange::Hooks ForwardAttempt::exchangeHooks() {
  std::weak_ptr<ForwardAttempt> Self = this->weak_from_this();
  // An exchange that was given up may still deliver; only the latest counts.
  auto Live = [Self, Mine = this->Generation] {
    auto Kept = Self.lock();
    return Kept && !Kept->Over && Kept->Generation == Mine ? Kept : nullptr;
  };
  ClientExchange::Hooks Hooks;
  Hooks.OnInterim = [Live](int Status) {
    auto Kept = Live();
    if (!Kept)
      return;
    Kept->heard();
    if (Status == Continue && Kept->Callbacks->OnContinue)
      Kept->Callbacks->OnContinue();
  };
  Hooks.OnHead = [Live](const HttpResponseHead &Received) {
    if (auto Kept = Live())
      Kept->onHead(Received);
  };
  Hooks.OnBody = [Live](std::string_view Data) {
    if (auto Kept = Live())
      Kept->onBody(Data);
  };
  Hooks.OnEnd = [Live] {
    if (auto Kept = Live())
      Kept->onEnd();
  };
  Hooks.OnFailure = [Live](const ClientFailure &Failure) {
    if (auto Kept = Live())
      Kept->onBroken(Failure);
  };
  Hooks.OnDrained = [Live] {
    auto Kept = Live();
    if (Kept && Kept->Callbacks->OnDrained)
      Kept->Callbacks->OnDrained();
  };
  return Hooks;
}

void ForwardAttempt::heard() {
  this->LastHeard = this->Loop.now();
  this->Broken = 0;
  if (auto Old = std::move(this->Previous))
    Old->cancel();
}

void ForwardAttempt::onHead(const HttpResponseHead &Received) {
  this->heard();
  auto Known = outcomeOf(Received.Headers);
  if (Known != Outcome::Answered) {
    this->Refusal =
        AttemptFailure{Known.value_or(Outcome::Unknown), Received.Status,
                       Received.Headers.get(header::Reason), false};
    if (!Known)
      this->Refusal->Reason = "no-outcome";
    return;
  }
  if (this->HeadDelivered)
    return;
  this->HeadDelivered = true;
  this->Callbacks->OnHead(Received);
}

void ForwardAttempt::onBody(std::string_view Data) {
  this->heard();
  if (this->Refusal)
    return;
  auto Skipped = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->Skip, Data.size()));
  this->Skip -= Skipped;
  Data.remove_prefix(Skipped);
  if (Data.empty())
    return;
  this->BodyDelivered += Data.size();
  this->Callbacks->OnBody(Data);
}

void ForwardAttempt::onEnd() {
  auto Self = this->shared_from_this();
  this->heard();
  if (this->Refusal) {
    this->fail(*this->Refusal);
    return;
  }
  if (this->Skip > 0) {
    this->fail({Outcome::Unknown, 502, "response-changed", false});
    return;
  }
  this->Over = true;
  this->Callbacks->OnEnd();
}

void ForwardAttempt::onBroken(const ClientFailure &Failure) {
  auto Self = this->shared_from_this();
  if (!Failure.BytesSent && !this->BytesSent) {
    this->fail({Outcome::NotRun, 503, "gate-unreachable", true});
    return;
  }
  // The gate's process is gone when it does not accept a new connection.
  bool Gone =
      !Failure.BytesSent && Failure.Cause.Code == ErrorCode::Unavailable;
  bool Enough = this->Idempotent && this->Attaches >= MaxIdempotentReattaches;
  if (Gone || Enough || ++this->Broken > MaxConsecutiveBreaks) {
    this->fail({Outcome::Unknown, 502, "gate-unreachable", Gone});
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
