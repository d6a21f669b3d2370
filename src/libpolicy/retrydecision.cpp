#include "libpolicy/retrydecision.h"

#include <algorithm>

namespace amaranthward {

namespace {

RetryDecision stop(StopReason Reason) { return {RetryAction::Stop, Reason}; }

} // namespace

const char *nameOf(RetryAction Value) {
  switch (Value) {
  case RetryAction::Stop:
    return "stop";
  case RetryAction::Retry:
    return "retry";
  case RetryAction::RetryElsewhere:
    return "retry-elsewhere";
  case RetryAction::RetryOnBaseline:
    return "retry-on-baseline";
  }
  return "";
}

const char *nameOf(StopReason Value) {
  switch (Value) {
  case StopReason::None:
    return "";
  case StopReason::Answered:
    return "answered";
  case StopReason::MayHaveRun:
    return "may-have-run";
  case StopReason::BodyNotBuffered:
    return "body-gone";
  case StopReason::NoTimeLeft:
    return "no-time-left";
  case StopReason::TooManyAttempts:
    return "too-many-attempts";
  case StopReason::BudgetSpent:
    return "budget-spent";
  case StopReason::NoUntriedUpstream:
    return "none-left";
  }
  return "";
}

RetryDecision decideRetry(const RetryInputs &Inputs) {
  bool MayHaveReachedUpstream = Inputs.Outcome != AttemptOutcome::NotRun;
  if (Inputs.Outcome == AttemptOutcome::Answered)
    return stop(StopReason::Answered);
  if (MayHaveReachedUpstream && !Inputs.Idempotent)
    return stop(StopReason::MayHaveRun);
  if (!Inputs.BodyBuffered)
    return stop(StopReason::BodyNotBuffered);
  if (Inputs.TimeLeft < std::max(MinRetryTime, Inputs.MinAttemptTime))
    return stop(StopReason::NoTimeLeft);
  if (!MayHaveReachedUpstream && Inputs.Leaving)
    return Inputs.GateRefusals < MaxLeavingRefusals
               ? RetryDecision{RetryAction::RetryElsewhere, StopReason::None}
               : stop(StopReason::TooManyAttempts);
  if (!MayHaveReachedUpstream && Inputs.RefusedByGate &&
      !Inputs.HasUntriedUpstream)
    return stop(StopReason::NoUntriedUpstream);
  if (!MayHaveReachedUpstream && Inputs.RefusedByGate)
    return Inputs.GateRefusals < MaxGateRefusals
               ? RetryDecision{RetryAction::RetryElsewhere, StopReason::None}
               : stop(StopReason::TooManyAttempts);
  if (Inputs.Attempts >= Inputs.AttemptLimit)
    return stop(StopReason::TooManyAttempts);
  bool OnBaseline =
      MayHaveReachedUpstream && Inputs.UnprovenVersion && !Inputs.BaselineTried;
  if (OnBaseline && !Inputs.BaselineInBudget)
    return {RetryAction::RetryOnBaseline, StopReason::None};
  if (!Inputs.BudgetLeft)
    return stop(StopReason::BudgetSpent);
  if (OnBaseline)
    return {RetryAction::RetryOnBaseline, StopReason::None};
  return {RetryAction::Retry, StopReason::None};
}

} // namespace amaranthward
