#include "libproxy/execution.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr int BadGateway = 502;

} // namespace

void Execution::attach(std::shared_ptr<ServerExchange> Later) {
  if (this->Phase == State::Finished) {
    this->replay(Later);
    return;
  }
  if (!this->RequestComplete) {
    // The rest of the body could only arrive over the earlier connection, which
    // the sender has abandoned.
    this->cancel(BadGateway, "request-incomplete");
    this->replay(Later);
    return;
  }
  if (this->ResponseReleased && !this->ResponseKept) {
    respond(*Later, BadGateway, "text/plain", "",
            outcomeFields(Outcome::Unknown, "response-not-kept"));
    return;
  }
  this->Loop.cancel(this->GraceTimer);
  Later->sendInterim(102);
  this->addWaiter(std::move(Later), false);
}

void Execution::addWaiter(std::shared_ptr<ServerExchange> Exchange,
                          bool Source) {
  std::weak_ptr<Execution> Self = this->weak_from_this();
  const ServerExchange *Key = Exchange.get();
  this->Waiters.push_back({Exchange});
  if (this->ResponseReleased) {
    this->sendHeadTo(this->Waiters.back());
    this->sendTo(this->Waiters.back(), this->ResponseBody);
  }
  ServerExchange::Hooks Hooks;
  Hooks.OnAborted = [Self, Key, Source] {
    if (auto Kept = Self.lock())
      Kept->removeWaiter(Key, Source);
  };
  Hooks.OnDrained = [Self, Key] {
    if (auto Kept = Self.lock())
      Kept->waiterDrained(Key);
  };
  if (Source) {
    Hooks.OnBody = [Self](std::string_view Data) {
      if (auto Kept = Self.lock())
        Kept->onRequestBody(Data);
    };
    Hooks.OnBodyEnd = [Self] {
      if (auto Kept = Self.lock())
        Kept->onRequestEnd();
    };
  }
  Exchange->setHooks(std::move(Hooks));
}

void Execution::removeWaiter(const ServerExchange *Left, bool WasSource) {
  auto Self = this->shared_from_this();
  std::erase_if(this->Waiters, [Left](const Waiter &Each) {
    return Each.Exchange.get() == Left;
  });
  if (this->Phase == State::Finished)
    return;
  if (WasSource && !this->RequestComplete) {
    this->cancel(BadGateway, "request-incomplete");
    return;
  }
  this->updateBackPressure();
  // See isAbandoned().
  if (!this->Waiters.empty() || this->Request.Keyed)
    return;
  if (this->Idempotent) {
    this->cancel(BadGateway, "cancelled");
    return;
  }
  std::weak_ptr<Execution> Weak = Self;
  this->GraceTimer = this->Loop.after(ReattachGracePeriod, [Weak] {
    auto Kept = Weak.lock();
    if (Kept && Kept->Waiters.empty())
      Kept->cancel(BadGateway, "cancelled");
  });
}

bool Execution::isAbandoned() const {
  return !this->Request.Keyed &&
         std::all_of(
             this->Waiters.begin(), this->Waiters.end(),
             [](const Waiter &Each) { return Each.Exchange->peerLeft(); });
}

void Execution::waiterDrained(const ServerExchange *Drained) {
  for (Waiter &Each : this->Waiters)
    if (Each.Exchange.get() == Drained)
      Each.WriteBlocked = false;
  this->updateBackPressure();
}

void Execution::sendHeartbeats() {
  for (const Waiter &Each : this->Waiters)
    if (!Each.HeadSent)
      Each.Exchange->sendInterim(102);
}

void Execution::dropResponse() {
  this->ResponseKept = false;
  std::string().swap(this->ResponseBody);
}

void Execution::releaseResponse() {
  this->ResponseReleased = true;
  for (Waiter &Each : this->Waiters) {
    this->sendHeadTo(Each);
    this->sendTo(Each, this->ResponseBody);
  }
}

void Execution::sendHeadTo(Waiter &Receiver) {
  Receiver.HeadSent = true;
  Receiver.Exchange->sendHead(this->ResponseHead);
}

void Execution::sendTo(Waiter &Receiver, std::string_view Data) {
  if (!Receiver.Exchange->sendBody(Data))
    Receiver.WriteBlocked = true;
}

void Execution::updateBackPressure() {
  if (!this->Upstream || this->Phase != State::Running)
    return;
  // A slow waiter must not delay the others, so it is disconnected.
  if (this->Waiters.size() > 1) {
    auto Blocked = std::stable_partition(
        this->Waiters.begin(), this->Waiters.end(),
        [](const Waiter &Each) { return !Each.WriteBlocked; });
    std::vector<Waiter> Slow(std::make_move_iterator(Blocked),
                             std::make_move_iterator(this->Waiters.end()));
    this->Waiters.erase(Blocked, this->Waiters.end());
    if (this->Waiters.empty() && !Slow.empty()) {
      this->Waiters.push_back(std::move(Slow.back()));
      Slow.pop_back();
    }
    for (const Waiter &Each : Slow)
      Each.Exchange->abort();
  }
  bool Blocked =
      std::any_of(this->Waiters.begin(), this->Waiters.end(),
                  [](const Waiter &Each) { return Each.WriteBlocked; });
  if (Blocked)
    this->Upstream->pauseBody();
  else
    this->Upstream->resumeBody();
}

void Execution::answerFailure(ServerExchange &Exchange) {
  HttpHeaders Extra = outcomeFields(this->FinalOutcome, this->FailureReason);
  Extra.add(header::Load, this->Callbacks.Load());
  respond(Exchange, this->FailureStatus, "text/plain", "", std::move(Extra));
}

void Execution::replay(const std::shared_ptr<ServerExchange> &Exchange) {
  if (this->FinalOutcome != Outcome::Answered) {
    this->answerFailure(*Exchange);
    return;
  }
  if (!this->ResponseKept) {
    respond(*Exchange, BadGateway, "text/plain", "",
            outcomeFields(Outcome::Unknown, "response-not-kept"));
    return;
  }
  Exchange->sendHead(this->ResponseHead);
  Exchange->sendBody(this->ResponseBody);
  Exchange->finish();
}

} // namespace amaranthward
