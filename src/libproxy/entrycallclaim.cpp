#include "libproxy/claimtable.h"
#include "libproxy/entrycall.h"

namespace amaranthward {

namespace {

constexpr int BadRequest = 400;
constexpr int BadGateway = 502;

} // namespace

void EntryCall::claim() {
  if (this->Exchange->request().Headers.get(header::IdempotencyKey).size() >
      ClaimTable::MaxKeyBytes) {
    this->giveUp(Outcome::NotRun, BadRequest, "key-too-long");
    return;
  }
  if (!this->BodyComplete)
    this->Exchange->pauseBody();
  std::weak_ptr<EntryCall> Self = this->weak_from_this();
  ClaimRequest Request{
      this->Route.Service,
      this->Exchange->request().Headers.get(header::IdempotencyKey),
      this->Id,
      this->Chosen->Target,
      this->Until,
      this->NotRunAttemptId};
  this->Shared.Hooks.Claim(
      Request, [Self, ClaimedId = this->Id](ClaimAnswer Answer) {
        auto Call = Self.lock();
        if (Call && Call->Exchange && Call->Id == ClaimedId && !Call->Attempt)
          Call->onClaim(Answer);
      });
}

void EntryCall::onClaim(const ClaimAnswer &Answer) {
  switch (Answer.Verdict) {
  case ClaimAnswer::Kind::Granted:
    this->ClaimGranted = true;
    this->forward();
    return;
  case ClaimAnswer::Kind::Attach:
    this->attachTo(Answer);
    return;
  case ClaimAnswer::Kind::Unknown:
    break;
  }
  this->record(AttemptResult::Cancelled, std::nullopt);
  this->giveUp(Outcome::Unknown, BadGateway, "claim-unknown");
}

void EntryCall::releaseClaim() {
  if (!this->ClaimGranted || this->EarlierMayHaveRun ||
      !this->Shared.Hooks.Release)
    return;
  this->ClaimGranted = false;
  this->Shared.Hooks.Release(
      this->Route.Service,
      this->Exchange->request().Headers.get(header::IdempotencyKey), this->Id);
}

void EntryCall::attachTo(const ClaimAnswer &Answer) {
  this->record(AttemptResult::Cancelled, std::nullopt);
  this->AttachedToEarlier = true;
  this->Attempt = ForwardAttempt::create(
      this->Shared.Loop, this->Shared.Client, Answer.Gate.PeerAddress,
      this->forwardHead(Answer.Id, Answer.Gate), false, this->attemptHooks());
  this->Attempt->beginAttached();
  if (!this->BodyComplete)
    this->Exchange->resumeBody();
}

} // namespace amaranthward
