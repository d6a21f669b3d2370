#include "libpolicy/movepacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthward {
namespace {

/// Step intervals by which the plan reaches the target ahead of time, because
/// a bounded step may fall short of the plan.
constexpr int PlanMargin = 5;
/// Gain at which the plan begins while the rate of calls is unknown, in parts
/// per 10,000.
constexpr double PlanBegin = 10;
/// The first step waits for the first reports, which give the rate of calls,
/// and goes without them after the longer time.
constexpr Duration FirstWait = std::chrono::seconds(1);
constexpr Duration RateWait = std::chrono::seconds(3);
/// Largest factor of one step when the time left demands more than StepFactor.
constexpr double UrgentFactor = 8;
/// Part of the early share that is used, and the seconds of calls for which it
/// must suffice, because a verdict takes time to reach every node.
constexpr double EarlyPart = 0.9;
constexpr double EarlyHorizon = 1.5;
/// Smallest relative growth worth a record in the log.
constexpr double SmallestGrowth = 1.25;

double gainOf(const MoveState &State, const Split &Shares) {
  return static_cast<double>(shareIn(Shares, State.Driver).parts()) -
         static_cast<double>(shareIn(State.Fallback, State.Driver).parts());
}

MoveDecision keep(const MoveState &State) {
  return {MoveAction::Keep, State, false};
}

MoveDecision endAs(const MoveState &State, MovePhase Phase, MoveReason Reason,
                   WallTime Now) {
  return {MoveAction::End, State.endedAs(Phase, Reason, Now), false};
}

void recordEvidence(MoveState &State, const AnalysisVerdict &Verdict) {
  State.Evidence.Calls = std::max(State.Evidence.Calls, Verdict.CandidateCalls);
  State.Evidence.Good =
      State.Evidence.Good || Verdict.Kind == VerdictKind::GoodSoFar;
  if (!Verdict.Bad)
    return;
  State.Evidence.Good = false;
  State.Evidence.BadRoute = Verdict.Bad->Route;
  State.Evidence.BadKind = Verdict.Bad->Fault;
}

/// Whether the move's target is safe although its candidate is bad: it takes
/// every share away from the candidate that it did not have when settled.
bool leavesCandidate(const MoveState &State) {
  return !State.NeedsEvidence && shareIn(State.To, State.Candidate) <=
                                     shareIn(State.Fallback, State.Candidate);
}

MoveDecision decideBad(const MoveState &State, const MoveInputs &In) {
  MoveReason Reason =
      In.CandidateMarkedBad ? MoveReason::MarkedBad : MoveReason::BadVersion;
  MoveDecision Decision =
      leavesCandidate(State)
          ? endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now)
          : endAs(State, MovePhase::TakenBack, Reason, In.Now);
  recordEvidence(Decision.Next, In.Verdict);
  Decision.MarkBad = !In.CandidateMarkedBad;
  return Decision;
}

bool hasCapacity(const Split &Shares, const MoveInputs &In) {
  return std::all_of(Shares.begin(), Shares.end(), [&In](const auto &One) {
    auto Found = In.Capacity.find(One.first);
    return One.second == Share::none() ||
           (Found != In.Capacity.end() && Found->second > 0);
  });
}

Share suspectShare(const MoveState &State) {
  return std::max(LargestSuspectShare,
                  shareIn(State.Fallback, State.Candidate));
}

MoveDecision lower(const MoveState &State, const MoveInputs &In) {
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  Split &Shares = Decision.Next.InForce;
  Share Kept = suspectShare(State);
  std::uint32_t Taken = Shares[State.Candidate].parts() - Kept.parts();
  Shares[State.Candidate] = Kept;
  Shares[State.Baseline] = Share(Shares[State.Baseline].parts() + Taken);
  Decision.Next.SteppedAt = In.Now;
  return Decision;
}

bool mustLower(const MoveState &State, const MoveInputs &In) {
  return In.Verdict.Kind == VerdictKind::Suspect && State.NeedsEvidence &&
         State.shareOf(State.Candidate) > suspectShare(State) &&
         hasCapacity(State.Fallback, In);
}

MoveDecision restore(const MoveState &State, const MoveInputs &In) {
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  Decision.Next.InForce = State.To;
  Decision.Next.SteppedAt = In.Now;
  return Decision;
}

} // namespace

const char *toString(MoveAction Action) {
  switch (Action) {
  case MoveAction::Keep:
    return "keep";
  case MoveAction::SetShare:
    return "set_share";
  case MoveAction::End:
    return "end";
  case MoveAction::Revert:
    return "revert";
  }
  return "unknown";
}

Result<MovePacer> MovePacer::create(PacerOptions Options) {
  if (Options.StepInterval <= Duration::zero() || Options.StepFactor <= 1 ||
      Options.StepSize == Share::none() || Options.CapacityPart <= 0)
    return fail(ErrorCode::InvalidArgument,
                "options of the move pacer allow no step");
  return MovePacer(Options);
}

bool MovePacer::isWatched(const MoveState &State, WallTime Now) {
  if (!State.ended())
    return true;
  return State.Phase == MovePhase::Done && State.NeedsEvidence &&
         !State.Reverted &&
         (Now <= State.EndedAt + State.Probation || State.InForce != State.To);
}

MoveDecision MovePacer::decide(const MoveState &State,
                               const MoveInputs &In) const {
  if (State.ended())
    return this->decideDone(State, In);
  bool IsBad = In.CandidateMarkedBad || In.Verdict.Kind == VerdictKind::Bad;
  if (IsBad && !State.Candidate.empty())
    return decideBad(State, In);
  if (In.Now >= State.Deadline)
    return this->decideAtDeadline(State, In);
  if (State.Phase == MovePhase::Holding)
    return this->decideHolding(State, In);
  return this->decideShare(State, In);
}

MoveDecision MovePacer::decideHolding(const MoveState &State,
                                      const MoveInputs &In) const {
  bool IsGood = In.Verdict.Kind == VerdictKind::GoodSoFar;
  if (In.Now - State.SteppedAt >= this->Options.StepInterval) {
    if (mustLower(State, In))
      return lower(State, In);
    if (State.InForce != State.To && In.Verdict.Kind != VerdictKind::Suspect)
      return restore(State, In);
  }
  if (IsGood && State.InForce == State.To &&
      In.Now - State.HeldSince >= State.holdTime()) {
    MoveDecision Decision =
        endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now);
    recordEvidence(Decision.Next, In.Verdict);
    return Decision;
  }
  if (!IsGood || State.Evidence.Good)
    return keep(State);
  // A next leader may have to end the move on this record alone.
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  recordEvidence(Decision.Next, In.Verdict);
  return Decision;
}

MoveDecision MovePacer::decideDone(const MoveState &State,
                                   const MoveInputs &In) const {
  if (!isWatched(State, In.Now))
    return keep(State);
  // A suspicion at the end of the probation gets as much time again to clear.
  bool IsOver = In.Now > State.EndedAt + 2 * State.Probation;
  bool IsSuspect = In.Verdict.Kind == VerdictKind::Suspect;
  if ((In.Verdict.Kind == VerdictKind::Bad || (IsOver && IsSuspect)) &&
      hasCapacity(State.Fallback, In)) {
    MoveDecision Decision = {MoveAction::Revert, State, true};
    Decision.Next.InForce = State.Fallback;
    Decision.Next.Reverted = true;
    recordEvidence(Decision.Next, In.Verdict);
    return Decision;
  }
  if (In.Now - State.SteppedAt < this->Options.StepInterval)
    return keep(State);
  if (mustLower(State, In))
    return lower(State, In);
  return State.InForce != State.To && !IsSuspect ? restore(State, In)
                                                 : keep(State);
}

MoveDecision MovePacer::decideAtDeadline(const MoveState &State,
                                         const MoveInputs &In) const {
  if (State.NeedsEvidence && In.RejectingNodes > 0.5)
    return decideBad(State, In);
  if (In.Leading < this->Options.ResendWait)
    return keep(State);
  bool IsSuspect = In.Verdict.Kind == VerdictKind::Suspect;
  bool IsGood = !IsSuspect && (In.Verdict.Kind == VerdictKind::GoodSoFar ||
                               State.Evidence.Good);
  bool IsHeld = State.InForce == State.To || State.Phase == MovePhase::Holding;
  bool HasCapacity = this->capacityGain(State, In) >= gainOf(State, State.To);
  if (!State.NeedsEvidence &&
      (IsHeld || HasCapacity || State.To == State.Fallback))
    return endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now);
  MoveDecision Decision =
      endAs(State, MovePhase::TakenBack, MoveReason::DeadlinePassed, In.Now);
  if (IsHeld && IsGood)
    Decision = endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now);
  else if (IsSuspect)
    Decision.Next.Reason = MoveReason::Suspect;
  else if (!IsHeld && !HasCapacity)
    Decision.Next.Reason = MoveReason::NoCapacity;
  else if (!IsGood)
    Decision.Next.Reason = MoveReason::NoEvidence;
  recordEvidence(Decision.Next, In.Verdict);
  return Decision;
}

MoveDecision MovePacer::decideShare(const MoveState &State,
                                    const MoveInputs &In) const {
  double Target = gainOf(State, State.To);
  double Current = gainOf(State, State.InForce);
  double Next = Current;
  if (State.InForce != State.To) {
    if (State.Phase != MovePhase::Pending &&
        In.Now - State.SteppedAt < this->Options.StepInterval)
      return keep(State);
    if (mustLower(State, In))
      return lower(State, In);
    if (In.Verdict.Kind == VerdictKind::Suspect && Current > 0)
      return keep(State);
    Next = this->nextGain(State, In);
    bool IsSmall =
        Next < Target && Next >= Current && Next < Current * SmallestGrowth;
    if (Next == Current || IsSmall)
      return keep(State);
  }
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  auto Settled =
      static_cast<double>(shareIn(State.Fallback, State.Driver).parts());
  Decision.Next.InForce =
      Next >= Target
          ? State.To
          : State.splitAt(Share(static_cast<std::uint32_t>(Settled + Next)));
  Decision.Next.Phase = MovePhase::Shifting;
  Decision.Next.SteppedAt = In.Now;
  recordEvidence(Decision.Next, In.Verdict);
  if (Next < Target)
    return Decision;
  if (!State.NeedsEvidence)
    return endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now);
  Decision.Next.Phase = MovePhase::Holding;
  Decision.Next.HeldSince = In.Now;
  return Decision;
}

double MovePacer::nextGain(const MoveState &State, const MoveInputs &In) const {
  double Target = gainOf(State, State.To);
  double Current = gainOf(State, State.InForce);
  double Capacity = this->capacityGain(State, In);
  auto Size = static_cast<double>(this->Options.StepSize.parts());
  bool NeedsEvidence = State.NeedsEvidence && State.Driver == State.Candidate;
  if (!NeedsEvidence)
    return std::min(Target,
                    std::max(Current, std::min(Current + Size, Capacity)));
  Duration Wait = In.CallsPerSecond > 0 ? FirstWait : RateWait;
  if (State.Phase == MovePhase::Pending && In.Now - State.StartedAt < Wait)
    return Current;
  double Planned = this->plannedGain(State, In);
  double Wanted = std::max(Planned, this->evidenceGain(State, In));
  double First = static_cast<double>(this->Options.EarlyShare.parts());
  double Bound = First;
  if (Current > 0)
    Bound =
        std::max(std::min(Current * this->Options.StepFactor, Current + Size),
                 std::min(Planned, Current * UrgentFactor));
  double Next = std::floor(std::min({Wanted, Bound, Capacity, Target}));
  bool IsOverloaded = Capacity < Current * this->Options.CapacityPart;
  return IsOverloaded ? std::max(0.0, std::floor(Capacity))
                      : std::max(Current, Next);
}

double MovePacer::evidenceGain(const MoveState &State,
                               const MoveInputs &In) const {
  if (In.CallsPerSecond <= 0)
    return 0;
  auto Calls = static_cast<double>(In.Verdict.CandidateCalls);
  double Rate =
      this->Options.FirstRate * In.Routes + this->Options.RatePerCall * Calls;
  double Gain = std::max(1.0, Rate / In.CallsPerSecond * Share::Whole);
  if (Calls < static_cast<double>(this->Options.EarlyCalls) * In.Routes)
    Gain = std::min(Gain, this->earlyGain(In));
  return std::min(Gain, gainOf(State, State.To));
}

double MovePacer::earlyGain(const MoveInputs &In) const {
  double Part = this->Options.EarlyShare.fraction() * EarlyPart;
  double Ahead = In.CallsPerSecond * EarlyHorizon;
  double Allowed = Part * (static_cast<double>(In.AllCalls) + Ahead);
  double Left = Allowed - static_cast<double>(In.Verdict.CandidateCalls);
  return std::max(1.0, Left / Ahead * Share::Whole);
}

double MovePacer::plannedGain(const MoveState &State,
                              const MoveInputs &In) const {
  double Target = gainOf(State, State.To);
  double Begin = PlanBegin;
  if (In.CallsPerSecond > 0)
    Begin = std::clamp(this->Options.FirstRate * In.Routes / In.CallsPerSecond *
                           Share::Whole,
                       1.0, double(this->Options.EarlyShare.parts()));
  Begin = std::max(Begin, gainOf(State, State.From));
  if (Begin >= Target)
    return Target;
  Duration Window = State.Deadline - State.holdTime() - State.StartedAt;
  Duration Length =
      Window - std::min(PlanMargin * this->Options.StepInterval, Window / 4);
  if (Length <= Duration::zero())
    return Target;
  double Part = std::clamp(double((In.Now - State.StartedAt).count()) /
                               double(Length.count()),
                           0.0, 1.0);
  return Begin * std::pow(Target / Begin, Part);
}

double MovePacer::capacityGain(const MoveState &State,
                               const MoveInputs &In) const {
  auto Settled =
      static_cast<double>(shareIn(State.Fallback, State.Driver).parts());
  auto Found = In.Capacity.find(State.Driver);
  if (Found == In.Capacity.end() || Found->second <= 0)
    return -Settled;
  if (In.Demand <= 0)
    return Share::Whole;
  return this->Options.CapacityPart * Found->second / In.Demand * Share::Whole -
         Settled;
}

} // namespace amaranthward
