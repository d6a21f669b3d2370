#ifndef AMARANTHWARD_LIBPOLICY_RETRYDECISION_H
#define AMARANTHWARD_LIBPOLICY_RETRYDECISION_H

#include "libcore/units.h"
#include <cstdint>

namespace amaranthward {

/// Result of one attempt of a call.
enum class AttemptOutcome {
  /// A complete response that is not a failure was received.
  Answered,
  /// A complete failure response was received, so the request was executed.
  Failed,
  /// It is certain that no byte of the request reached an upstream.
  NotRun,
  /// The request may have been executed.
  Unknown,
};

/// Default limit on the attempts of one call, including the extra one on the
/// baseline; a route may set another.
inline constexpr std::uint32_t DefaultMaxAttempts = 3;
/// Limit on the refusals by gates per call. A refusal causes no work at an
/// upstream, but takes a round trip between nodes.
inline constexpr std::uint32_t MaxGateRefusals = 4;

/// The same for refusals by upstreams that are leaving: higher, because many
/// may leave at once. Limited, because a single upstream is chosen again each
/// time.
inline constexpr std::uint32_t MaxLeavingRefusals = 16;

/// State of a call after an attempt, as input of decideRetry().
struct RetryInputs {
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  /// The request can be executed twice without harm.
  bool Idempotent = false;
  /// The attempt was sent to a version that is not proven yet.
  bool UnprovenVersion = false;
  /// The extra attempt on the baseline also takes a token from the retry
  /// budget. Required where retries are bounded mesh-wide, because late in a
  /// move most calls go to the unproven version.
  bool BaselineInBudget = false;
  /// This call has already used the extra attempt on the baseline.
  bool BaselineTried = false;
  /// The whole request body is buffered and can be sent again.
  bool BodyBuffered = true;
  /// The attempt was refused because the upstream is leaving or its zone is out
  /// of service. Such attempts are not counted in Attempts.
  bool Leaving = false;
  /// Attempts that reached an upstream.
  std::uint32_t Attempts = 1;
  std::uint32_t AttemptLimit = DefaultMaxAttempts;
  /// The attempt ended at the gate and no byte of it reached an upstream.
  bool RefusedByGate = false;
  /// Refusals by gates in this call, including the present one.
  std::uint32_t GateRefusals = 0;
  /// An upstream is in service that this call has not tried yet.
  bool HasUntriedUpstream = true;
  /// Time until the deadline of the call.
  Duration TimeLeft = Duration::zero();
  /// Minimum time that a call of the route takes; 0 while unknown.
  Duration MinAttemptTime = Duration::zero();
  /// The retry budget has a token.
  bool BudgetLeft = false;
};

enum class RetryAction {
  /// Return the outcome to the caller.
  Stop,
  /// Send again to another upstream; takes one token from the retry budget.
  Retry,
  /// Send again to another upstream without a token. No work was done, and the
  /// upstream selection does not choose a leaving upstream again, so an entry
  /// gets at most one such refusal per upstream and second.
  RetryElsewhere,
  /// Send once to the baseline version; takes a token only with
  /// RetryInputs::BaselineInBudget.
  RetryOnBaseline,
};

/// Why a call is not sent again.
enum class StopReason {
  /// The call is sent again.
  None,
  Answered,
  /// The request is not idempotent and may have been executed.
  MayHaveRun,
  BodyNotBuffered,
  NoTimeLeft,
  TooManyAttempts,
  BudgetSpent,
  /// The gate refused the call, and every upstream in service has been tried.
  NoUntriedUpstream,
};

/// Names for log records.
const char *nameOf(RetryAction Value);
const char *nameOf(StopReason Value);

struct RetryDecision {
  RetryAction Action = RetryAction::Stop;
  StopReason Reason = StopReason::None;
};

/// With less time left, a retry could not finish and would only add load.
inline constexpr Duration MinRetryTime = std::chrono::milliseconds(2);

/// Decides whether and where a call is sent again after an attempt.
RetryDecision decideRetry(const RetryInputs &Inputs);

} // namespace amaranthward

#endif
