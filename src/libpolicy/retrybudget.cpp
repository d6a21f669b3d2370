#include "libpolicy/retrybudget.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr std::uint64_t Token = Share::Whole;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings, Instant Now)
    : Settings(Settings), Balance(Settings.MinimumTokens * Token),
      OutstandingCredit(Settings.MinimumTokens * Token), LastGrant(Now) {}

Result<RetryBudget> RetryBudget::create(const RetryBudgetSettings &Settings,
                                        Instant Now) {
  if (Settings.Largest < Settings.MinimumTokens)
    return fail(ErrorCode::InvalidArgument,
                "the largest balance of the retry budget is below its minimum");
  if (Settings.Refill <= Duration::zero())
    return fail(ErrorCode::InvalidArgument,
                "the refill time of the retry budget must be positive");
  return RetryBudget(Settings, Now);
}

void RetryBudget::refill(Instant Now) {
  if (Now - this->LastGrant < this->Settings.Refill)
    return;
  this->LastGrant = Now;
  // The bound on what is owed also bounds the retries beyond the ratio.
  if (this->Balance >= this->Settings.MinimumTokens * Token ||
      this->OutstandingCredit + Token > this->Settings.Largest * Token)
    return;
  this->Balance += Token;
  this->OutstandingCredit += Token;
}

void RetryBudget::recordCall(Instant Now) {
  this->refill(Now);
  std::uint64_t Part = this->Settings.Ratio.parts();
  std::uint64_t Repaid = std::min(Part, this->OutstandingCredit);
  this->OutstandingCredit -= Repaid;
  this->Balance =
      std::min(this->Balance + Part - Repaid, this->Settings.Largest * Token);
}

bool RetryBudget::trySpend(Instant Now) {
  this->refill(Now);
  if (!this->available())
    return false;
  this->Balance -= Token;
  this->LastGrant = Now;
  return true;
}

bool RetryBudget::available() const { return this->Balance >= Token; }

} // namespace amaranthward
