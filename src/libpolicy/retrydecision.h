#ifndef AMARANTHWARD_LIBPOLICY_RETRYDECISION_H
#define AMARANTHWARD_LIBPOLICY_RETRYDECISION_H

#include "libcore/units.h"
#include <cstdint>

namespace amaranthward {

/// What is known about one attempt when it has ended.
enum class AttemptOutcome {
  /// A complete response that is not a failure.
  Answered,
  /// A complete failure response: the request ran.
  Failed,
  /// Proved: no byte of the request reached an upstream.
  NotRun,
  /// It may have run.
  Unknown,
};

/// Attempts of one call, with the extra one on the baseline, where its route
/// does not state another number.
inline constexpr std::uint32_t MaxAttempts = 3;
/// Gates that one call may be refused by. A refusal costs an upstream nothing,
/// but each one takes a round trip between nodes.
inline constexpr std::uint32_t MaxGateRefusals = 4;

/// The same for gates that are leaving, of which many may leave at once. A
/// lone upstream is offered again and again, so there must be an end.
inline constexpr std::uint32_t MaxLeavingRefusals = 16;

struct RetryInputs {
  AttemptOutcome Outcome = AttemptOutcome::Unknown;
  bool Idempotent = false;
  /// The attempt went to a version that is not proven yet.
  bool UnprovenVersion = false;
  /// The extra attempt on the baseline takes a token of the budget too. Where
  /// the repeats of the whole mesh are bounded it must, because late in a move
  /// most calls go to the unproven version.
  bool BaselineInBudget = false;
  /// The extra attempt on the baseline has been used by this call.
  bool BaselineTried = false;
  /// The request body is still held and can be sent again.
  bool BodyBuffered = true;
  /// The attempt was refused because the upstream is leaving or its zone is
  /// out of service. Such attempts do not count in \a Attempts.
  bool Leaving = false;
  /// Attempts that reached an upstream.
  std::uint32_t Attempts = 1;
  std::uint32_t AttemptLimit = MaxAttempts;
  /// The attempt ended at the gate and no byte of it reached an upstream.
  bool RefusedByGate = false;
  /// Refusals of gates that this call has had, with the present one.
  std::uint32_t GateRefusals = 0;
  /// An upstream that this call has not tried yet is in service.
  bool HasUntriedUpstream = true;
  Duration TimeLeft = Duration::zero();
  /// Time that a call of the route needs at least; 0 when not known.
  Duration MinAttemptTime = Duration::zero();
  bool BudgetLeft = false;
};

enum class RetryAction {
  /// Give the outcome to the caller.
  Stop,
  /// Send again to another upstream; takes one token of the budget.
  Retry,
  /// Send again to another upstream; outside the budget. No work was done, and
  /// the choice does not offer a leaving upstream again, so an entry gets at
  /// most one such refusal per upstream and second.
  RetryElsewhere,
  /// Send once to the baseline version; outside the budget unless the question
  /// says otherwise.
  RetryOnBaseline,
};

enum class StopReason {
  None,
  Answered,
  MayHaveRun,
  BodyNotBuffered,
  NoTimeLeft,
  TooManyAttempts,
  BudgetSpent,
  /// All upstreams have refused the call.
  NoUntriedUpstream,
};

const char *nameOf(RetryAction Value);
const char *nameOf(StopReason Value);

struct RetryDecision {
  RetryAction Action = RetryAction::Stop;
  StopReason Reason = StopReason::None;
};

/// A retry with less time left would only add load.
inline constexpr Duration MinRetryTime = std::chrono::milliseconds(2);

RetryDecision decideRetry(const RetryInputs &Question);

} // namespace amaranthward

#endif
