#include "libproxy/entrycall.h"

#include <cstdio>

namespace amaranthward {

namespace {

constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int BadGateway = 502;
/// When a refused caller should return: about the time in which a full
/// upstream ends some of its calls, and a random part on top.
constexpr Duration RetryAfterBase = std::chrono::milliseconds(100);
constexpr Duration RetryAfterJitter = std::chrono::milliseconds(150);

} // namespace

void EntryCall::giveUp(Outcome Known, int Status, const std::string &Reason) {
  auto Self = this->shared_from_this();
  if (!this->Exchange)
    return;
  if (this->Attempt) {
    this->MayHaveRun = this->MayHaveRun || this->Attempt->mayHaveRun();
    this->Attempt->cancel();
    this->record(AttemptResult::Timeout, false);
  }
  // The gate of an earlier request knows nothing of attempts at other gates.
  if (this->MayHaveRun || this->Attached)
    Known = Outcome::Unknown;
  if (Known == Outcome::NotRun)
    this->releaseClaim();
  // The status of an unknown outcome must promise nothing, and a caller whose
  // request has not run is told so, because it may then send it again.
  if (Known != Outcome::NotRun && impliesNotRun(Status))
    Status = BadGateway;
  if (Known == Outcome::NotRun && Status == GatewayTimeout)
    Status = Unavailable;
  ++(Known == Outcome::NotRun ? this->Shared.Counters.NotRun
                              : this->Shared.Counters.Unknown);
  this->reportEnd(toString(Known), this->HeadSent ? 0 : Status, Reason);
  if (this->HeadSent)
    this->Exchange->abort();
  else
    respond(*this->Exchange, Status, "text/plain", Reason + "\n",
            this->refusalHeaders(Known, Status, Reason));
  this->over();
}

HttpHeaders EntryCall::refusalHeaders(Outcome Known, int Status,
                                      const std::string &Reason) const {
  HttpHeaders Fields = outcomeFields(Known, Reason);
  if (Known != Outcome::NotRun || Status != Unavailable)
    return Fields;
  // Spread, so that callers refused together do not return together.
  std::uint64_t Spread = this->Shared.Random() % RetryAfterJitter.count();
  Duration After = RetryAfterBase + Duration(static_cast<std::int64_t>(Spread));
  char Text[16];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(After).count());
  Fields.add("Retry-After", Text);
  return Fields;
}

void EntryCall::over() {
  this->record(AttemptResult::Cancelled, std::nullopt);
  this->Shared.Loop.cancel(this->DeadlineTimer);
  this->Exchange.reset();
  this->Attempt.reset();
  if (auto Done = std::move(this->OnCallFinished))
    Done(this);
}

} // namespace amaranthward
