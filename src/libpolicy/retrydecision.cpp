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

RetryDecision decideRetry(const RetryInputs &Question) {
  bool Failed = Question.Outcome != AttemptOutcome::NotRun;
  if (Question.Outcome == AttemptOutcome::Answered)
    return stop(StopReason::Answered);
  if (Failed && !Question.Idempotent)
    return stop(StopReason::MayHaveRun);
  if (!Question.BodyBuffered)
    return stop(StopReason::BodyNotBuffered);
  if (Question.TimeLeft < std::max(MinRetryTime, Question.MinAttemptTime))
    return stop(StopReason::NoTimeLeft);
  if (!Failed && Question.Leaving)
    return Question.GateRefusals < MaxLeavingRefusals
               ? RetryDecision{RetryAction::RetryElsewhere, StopReason::None}
               : stop(StopReason::TooManyAttempts);
  if (!Failed && Question.RefusedByGate && !Question.HasUntriedUpstream)
    return stop(StopReason::NoUntriedUpstream);
  if (!Failed && Question.RefusedByGate)
    return Question.GateRefusals < MaxGateRefusals
               ? RetryDecision{RetryAction::RetryElsewhere, StopReason::None}
               : stop(StopReason::TooManyAttempts);
  if (Question.Attempts >= Question.AttemptLimit)
    return stop(StopReason::TooManyAttempts);
  bool OnBaseline =
      Failed && Question.UnprovenVersion && !Question.BaselineTried;
  if (OnBaseline && !Question.BaselineInBudget)
    return {RetryAction::RetryOnBaseline, StopReason::None};
  if (!Question.BudgetLeft)
    return stop(StopReason::BudgetSpent);
  if (OnBaseline)
    return {RetryAction::RetryOnBaseline, StopReason::None};
  return {RetryAction::Retry, StopReason::None};
}

} // namespace amaranthward
