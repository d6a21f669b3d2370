#ifndef AMARANTHWARD_LIBPOLICY_RETRYBUDGET_H
#define AMARANTHWARD_LIBPOLICY_RETRYBUDGET_H

#include "libcore/result.h"
#include "libcore/units.h"
#include <cstdint>

namespace amaranthward {

struct RetryBudgetSettings {
  /// Tokens earned per call, in parts per 10,000: the ratio of retries to
  /// calls.
  Share Ratio = Share(1000);
  /// Tokens granted in advance at the start and after idle time, so that rare
  /// calls can be retried. Later calls earn tokens only once these are repaid.
  std::uint32_t MinimumTokens = 2;
  /// Largest balance, and largest number of tokens granted in advance.
  std::uint32_t Largest = 20;
  /// Time without a retry after which one more token up to MinimumTokens is
  /// granted in advance.
  Duration RefillInterval = std::chrono::seconds(10);
};

/// Token bucket that limits retries to a ratio of the calls.
class RetryBudget {
public:
  /// Fails with InvalidArgument when Largest is below MinimumTokens or
  /// RefillInterval is not positive.
  static Result<RetryBudget> create(const RetryBudgetSettings &Settings,
                                    Instant Now);

  /// Counts one call, whatever the number of its attempts.
  void recordCall(Instant Now);
  /// Takes one token; returns false when there is none.
  bool trySpend(Instant Now);
  /// Whether there is a token, as of the last refill.
  bool available() const;

private:
  explicit RetryBudget(const RetryBudgetSettings &Settings, Instant Now);
  void refill(Instant Now);

  RetryBudgetSettings Settings;
  /// Available tokens, in units of 1/Share::Whole token.
  std::uint64_t Balance = 0;
  /// Tokens granted in advance that calls have not repaid yet, in the same
  /// unit.
  std::uint64_t OutstandingCredit = 0;
  /// Time of the last refill or the last retry.
  Instant LastRefillAt;
};

} // namespace amaranthward

#endif
