#include "libpolicy/moveplan.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {
namespace {

/// Part of the budget that is used; the rest is for the calls that the reports
/// have not told yet.
constexpr double UsedPart = 0.9;
/// Part of the used budget that is spent before the rise, and the most where
/// routes with few calls need more evidence.
constexpr double EarlyPart = 0.15;
constexpr double MaxEarlyPart = 0.7;
/// Part of the window, and longest time, that is kept between the planned end
/// and the deadline, so that a new leader can still end the move in time.
constexpr int ReservePart = 5;
constexpr Duration LongestReserve = std::chrono::seconds(3);
/// A short window has room for this many steps.
constexpr int StepsInWindow = 8;
/// The rise starts at this part of the target.
constexpr double RiseStart = 0.02;
/// Bounds on the factor between the gains of two steps. Above the lower one a
/// step is worth a record in the log; the upper one is the largest rise in load
/// that the upstreams of the candidate get at once.
constexpr double MinStepFactor = 1.3;
constexpr double MaxStepFactor = 8;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

MovePlan MovePlan::create(const MoveState &State, const MoveInputs &In,
                          const Options &Given) {
  MovePlan Plan(ExposureBudget::create(State, In, Given.Limit), Given.Target);
  Duration Window = State.Deadline - State.StartedAt;
  Plan.CallsPerSecond = In.CallsPerSecond;
  Plan.EvidenceSeconds = Given.EvidenceSeconds;
  Plan.StepTime = std::min(std::max(Given.StepInterval, In.ReactionTime),
                           Window / StepsInWindow);
  Plan.Deadline = State.Deadline;
  Plan.EndBy = State.Deadline - Plan.StepTime / 2;
  double Seconds = Given.Limit.Part.fraction() * secondsOf(Window);
  if (In.CallsPerSecond > 0)
    Seconds = Plan.divideBudget();
  Plan.setRise(Seconds * Share::Whole / std::max(Given.Target, 1.0),
               State.holdTime());
  Plan.TargetAt = State.Deadline -
                  std::min(Window / ReservePart, LongestReserve) - Plan.Hold;
  double Steps = std::ceil(-std::log(RiseStart) / std::log(Plan.StepFactor));
  Plan.RiseAt = Plan.TargetAt - durationOf(Steps * secondsOf(Plan.StepTime));
  return Plan;
}

double MovePlan::divideBudget() {
  double Calls = UsedPart * this->Budget.allowed();
  this->EarlyCalls = EarlyPart * Calls;
  if (this->EvidenceSeconds > 0)
    this->EarlyCalls = std::clamp(
        this->Budget.used() + this->EvidenceSeconds * this->CallsPerSecond,
        this->EarlyCalls, MaxEarlyPart * Calls);
  return (Calls - this->EarlyCalls) / this->CallsPerSecond;
}

void MovePlan::setRise(double Seconds, Duration LongestHold) {
  double Step = secondsOf(this->StepTime);
  this->Hold = std::min(LongestHold, durationOf(std::max(Seconds / 2, Step)));
  // All steps before the target together cost as many calls as this time at
  // the target.
  double Rise = Seconds - secondsOf(this->Hold);
  this->StepFactor =
      Rise <= 0 ? MaxStepFactor
                : std::clamp(1 + Step / Rise, MinStepFactor, MaxStepFactor);
  this->StepTime =
      std::max(this->StepTime, durationOf(Rise * (this->StepFactor - 1)));
}

double MovePlan::gainAt(WallTime Now) const {
  if (Now >= this->TargetAt)
    return this->Target;
  double Steps =
      std::ceil(secondsOf(this->TargetAt - Now) / secondsOf(this->StepTime));
  return this->Target * std::pow(this->StepFactor, -Steps);
}

double MovePlan::gainBeforeRise(WallTime Now) const {
  if (this->CallsPerSecond <= 0 || Now + this->StepTime > this->RiseAt)
    return 0;
  double CallsLeft = this->EarlyCalls - this->Budget.used();
  double Calls = this->CallsPerSecond * secondsOf(this->RiseAt - Now);
  return std::max(1.0, CallsLeft / Calls * Share::Whole);
}

double MovePlan::gainForEvidence(WallTime Now) const {
  if (this->CallsPerSecond <= 0)
    return 0;
  WallTime Until = Now < this->RiseAt ? this->RiseAt : this->TargetAt;
  double Seconds = std::max(secondsOf(Until - Now), secondsOf(this->StepTime));
  double SecondsLeft =
      (this->EarlyCalls - this->Budget.used()) / this->CallsPerSecond;
  double Gain =
      std::min(this->EvidenceSeconds, SecondsLeft) / Seconds * Share::Whole;
  return std::clamp(Gain, 0.0, static_cast<double>(MaxSuspectShare.parts()));
}

double MovePlan::riseStart() const {
  return std::max(1.0, std::floor(RiseStart * this->Target));
}

bool MovePlan::mustWait(WallTime Now) const {
  return Now + this->StepTime < this->RiseAt && this->EvidenceSeconds <= 0 &&
         this->EarlyCalls > 0 && this->Budget.used() >= this->EarlyCalls;
}

bool MovePlan::isHeld(Duration Held, WallTime Now) const {
  // The answers of the last half step are still on their way to the leader.
  Duration Unreported = this->StepTime / 2;
  return Held >= this->Hold + Unreported || Now >= this->EndBy ||
         (Held >= this->StepTime + Unreported && this->isSpent());
}

bool MovePlan::isSpent() const {
  return this->Budget.used() >= UsedPart * this->Budget.allowed();
}

double MovePlan::gainForRest(WallTime Now) const {
  if (this->CallsPerSecond <= 0)
    return Share::Whole;
  double CallsLeft = this->Budget.allowed() - this->Budget.used();
  double Calls =
      this->CallsPerSecond *
      std::max(secondsOf(this->Deadline - Now), secondsOf(this->StepTime));
  return std::max(1.0, std::floor(CallsLeft / Calls * Share::Whole));
}

double MovePlan::affordableGain() const {
  if (this->CallsPerSecond <= 0)
    return Share::Whole;
  double CallsLeft = this->Budget.allowed() - this->Budget.used();
  double Calls = this->CallsPerSecond * secondsOf(this->StepTime);
  return std::max(1.0, CallsLeft / Calls * Share::Whole);
}

} // namespace amaranthward
