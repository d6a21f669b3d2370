#ifndef AMARANTHWARD_LIBPOLICY_RETRYBUDGET_H
#define AMARANTHWARD_LIBPOLICY_RETRYBUDGET_H

#include "libcore/result.h"
#include "libcore/units.h"
#include <cstdint>

namespace amaranthward {

struct RetryBudgetSettings {
  /// Retries as a share of calls.
  Share Ratio = Share(1000);
  /// Tokens at the start and after idle time, so that a rare call can be
  /// retried. Later calls pay them back.
  std::uint32_t MinimumTokens = 2;
  /// Tokens that can be saved up.
  std::uint32_t Largest = 20;
  /// Idle time after which one token of the minimum is granted again.
  Duration Refill = std::chrono::seconds(10);
};

/// Bounds retries to a share of calls.
class RetryBudget {
public:
  /// Fails with InvalidArgument when the largest balance is below the minimum.
  static Result<RetryBudget> create(const RetryBudgetSettings &Settings,
                                    Instant Now);

  /// Counts one call (not one attempt).
  void recordCall(Instant Now);
  /// Takes one token; false when none is left.
  bool trySpend(Instant Now);
  bool available() const;

private:
  explicit RetryBudget(const RetryBudgetSettings &Settings, Instant Now);
  void refill(Instant Now);

  RetryBudgetSettings Settings;
  /// In parts of one token, Share::Whole parts each.
  std::uint64_t Balance = 0;
  /// Granted parts that calls have not paid back yet.
  std::uint64_t OutstandingCredit = 0;
  Instant LastGrant;
};

} // namespace amaranthward

#endif
