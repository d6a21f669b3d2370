#include "libproxy/entrycall.h"

#include <cstdio>

namespace amaranthward {

namespace {

constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int BadGateway = 502;
/// Retry-After of a refused call: the base is about the time in which a full
/// upstream completes some of its calls; a random part up to the jitter is
/// added.
constexpr Duration RetryAfterBase = std::chrono::milliseconds(100);
constexpr Duration RetryAfterJitter = std::chrono::milliseconds(150);

} // namespace

void EntryCall::giveUp(Outcome KnownOutcome, int Status,
                       const std::string &Reason) {
  auto Self = this->shared_from_this();
  if (!this->Exchange)
    return;
  if (this->Attempt) {
    this->EarlierMayHaveRun =
        this->EarlierMayHaveRun || this->Attempt->mayHaveRun();
    this->Attempt->cancel();
    this->record(AttemptResult::Timeout, false);
  }
  // A gate reports only on its own attempt, not on earlier ones at other gates.
  if (this->EarlierMayHaveRun || this->AttachedToEarlier)
    KnownOutcome = Outcome::Unknown;
  if (KnownOutcome == Outcome::NotRun)
    this->releaseClaim();
  // Callers take some statuses as "not run" and send the request again. Such a
  // status must not be sent for an unknown outcome, but is sent when the
  // request has not run.
  if (KnownOutcome != Outcome::NotRun && impliesNotRun(Status))
    Status = BadGateway;
  if (KnownOutcome == Outcome::NotRun && Status == GatewayTimeout)
    Status = Unavailable;
  ++(KnownOutcome == Outcome::NotRun ? this->Shared.Counters.NotRun
                                     : this->Shared.Counters.Unknown);
  this->reportEnd(toString(KnownOutcome), this->HeadSent ? 0 : Status, Reason);
  if (this->HeadSent)
    this->Exchange->abort();
  else
    respond(*this->Exchange, Status, "text/plain", Reason + "\n",
            this->refusalHeaders(KnownOutcome, Status, Reason));
  this->complete();
}

HttpHeaders EntryCall::refusalHeaders(Outcome KnownOutcome, int Status,
                                      const std::string &Reason) const {
  HttpHeaders Fields = outcomeFields(KnownOutcome, Reason);
  if (KnownOutcome != Outcome::NotRun || Status != Unavailable)
    return Fields;
  // Jitter keeps callers that were refused together from retrying together.
  std::uint64_t Jitter = this->Shared.Random() % RetryAfterJitter.count();
  Duration After = RetryAfterBase + Duration(static_cast<std::int64_t>(Jitter));
  char Text[16];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(After).count());
  Fields.add("Retry-After", Text);
  return Fields;
}

void EntryCall::complete() {
  this->record(AttemptResult::Cancelled, std::nullopt);
  this->Shared.Loop.cancel(this->DeadlineTimer);
  this->Exchange.reset();
  this->Attempt.reset();
  if (auto Notify = std::move(this->OnCallFinished))
    Notify(this);
}

} // namespace amaranthward
