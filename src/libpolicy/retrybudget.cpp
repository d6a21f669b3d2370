#include "libpolicy/retrybudget.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// One token, in the unit of the balance.
constexpr std::uint64_t Token = Share::Whole;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings, Instant Now)
    : Settings(Settings), Balance(Settings.MinimumTokens * Token),
      OutstandingCredit(Settings.MinimumTokens * Token), LastRefillAt(Now) {}

Result<RetryBudget> RetryBudget::create(const RetryBudgetSettings &Settings,
                                        Instant Now) {
  if (Settings.Largest < Settings.MinimumTokens)
    return fail(ErrorCode::InvalidArgument,
                "retry budget: the largest balance is below the minimum");
  if (Settings.RefillInterval <= Duration::zero())
    return fail(ErrorCode::InvalidArgument,
                "retry budget: the refill time must be positive");
  return RetryBudget(Settings, Now);
}

void RetryBudget::refill(Instant Now) {
  if (Now - this->LastRefillAt < this->Settings.RefillInterval)
    return;
  this->LastRefillAt = Now;
  // The limit on the outstanding credit also limits the retries beyond the
  // ratio.
  if (this->Balance >= this->Settings.MinimumTokens * Token ||
      this->OutstandingCredit + Token > this->Settings.Largest * Token)
    return;
  this->Balance += Token;
  this->OutstandingCredit += Token;
}

void RetryBudget::recordCall(Instant Now) {
  this->refill(Now);
  std::uint64_t Earned = this->Settings.Ratio.parts();
  std::uint64_t Repaid = std::min(Earned, this->OutstandingCredit);
  this->OutstandingCredit -= Repaid;
  this->Balance =
      std::min(this->Balance + Earned - Repaid, this->Settings.Largest * Token);
}

bool RetryBudget::trySpend(Instant Now) {
  this->refill(Now);
  if (!this->available())
    return false;
  this->Balance -= Token;
  this->LastRefillAt = Now;
  return true;
}

bool RetryBudget::available() const { return this->Balance >= Token; }

} // namespace amaranthward
