#include "libpolicy/movepacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthward {
namespace {

/// Gain at which a move starts while the call rate is unknown, in parts per
/// 10,000.
constexpr double DefaultPlanStart = 10;
/// The first step waits for the first reports of the nodes, which give the call
/// rate.
constexpr Duration FirstReportWait = std::chrono::seconds(1);
/// Longest wait for the call rate; after it the first step is taken without it.
constexpr Duration MaxCallRateWait = std::chrono::seconds(3);
/// Limit on the factor of one step when the plan demands more than
/// MaxStepFactor.
constexpr double MaxUrgentStepFactor = 8;
/// Part of its evidence that a route must show when the calls for it are used
/// up; else the share is lowered.
constexpr double LittleEvidence = 0.5;
/// Part of the calls due at the target that must be known before a move is
/// done; the rest may be on its way in the reports.
constexpr double KnownPart = 0.5;
/// Smaller relative growth of the gain is not worth a record in the replicated
/// log.
constexpr double MinStepGrowth = 1.25;

/// Share of the driver in \a Shares beyond that in the fallback, in parts per
/// 10,000.
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

/// Whether the target gives the candidate no more than the fallback does. Such
/// a move may end at its target although the candidate is bad.
bool addsNoCandidateShare(const MoveState &State) {
  return !State.NeedsEvidence && shareIn(State.To, State.Candidate) <=
                                     shareIn(State.Fallback, State.Candidate);
}

/// Whether every version with a share in \a Shares has upstreams.
bool hasCapacity(const Split &Shares, const MoveInputs &In) {
  return std::all_of(Shares.begin(), Shares.end(), [&In](const auto &Entry) {
    auto Found = In.Capacity.find(Entry.first);
    return Entry.second == Share::none() ||
           (Found != In.Capacity.end() && Found->second > 0);
  });
}

Share suspectShare(const MoveState &State) {
  return std::max(MaxSuspectShare, shareIn(State.Fallback, State.Candidate));
}

/// Halves the candidate's share, but not below that in the fallback; the
/// baseline gets the rest.
MoveDecision lowerShare(const MoveState &State, const MoveInputs &In) {
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  Split &Shares = Decision.Next.InForce;
  Share Remaining = std::max(Share(Shares[State.Candidate].parts() / 2),
                             shareIn(State.Fallback, State.Candidate));
  std::uint32_t Removed = Shares[State.Candidate].parts() - Remaining.parts();
  Shares[State.Candidate] = Remaining;
  Shares[State.Baseline] = Share(Shares[State.Baseline].parts() + Removed);
  Decision.Next.LastStepAt = In.Now;
  return Decision;
}

MoveDecision restoreTarget(const MoveState &State, const MoveInputs &In) {
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  Decision.Next.InForce = State.To;
  Decision.Next.LastStepAt = In.Now;
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
  if (Options.StepInterval <= Duration::zero() || Options.MaxStepFactor <= 1 ||
      Options.MaxStepSize == Share::none() || Options.CapacityFraction <= 0)
    return fail(
        ErrorCode::InvalidArgument,
        "move pacer: the step interval, step size and capacity fraction must "
        "be positive and the step factor must exceed 1");
  return MovePacer(Options);
}

bool MovePacer::needsObservations(const MoveState &State, WallTime Now) {
  if (!State.ended())
    return true;
  return State.Phase == MovePhase::Done && State.NeedsEvidence &&
         !State.Reverted &&
         (Now <= State.EndedAt + State.Probation || State.InForce != State.To);
}

bool MovePacer::mustLowerShare(const MoveState &State,
                               const MoveInputs &In) const {
  bool NeedsBaseline = In.Verdict.Kind == VerdictKind::Suspect ||
                       (!State.ended() && this->lacksBaseline(State, In));
  return NeedsBaseline && State.NeedsEvidence &&
         State.shareOf(State.Candidate) > suspectShare(State) &&
         hasCapacity(State.Fallback, In);
}

MoveDecision MovePacer::decideBad(const MoveState &State,
                                  const MoveInputs &In) const {
  MoveReason Reason =
      In.CandidateMarkedBad ? MoveReason::MarkedBad : MoveReason::BadVersion;
  MoveDecision Decision =
      addsNoCandidateShare(State)
          ? endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now)
          : endAs(State, MovePhase::TakenBack, Reason, In.Now);
  this->recordEvidence(Decision.Next, In);
  Decision.MarkBad = !In.CandidateMarkedBad;
  return Decision;
}

MoveDecision MovePacer::decide(const MoveState &State,
                               const MoveInputs &In) const {
  if (State.ended())
    return this->decideDone(State, In);
  bool IsBad = In.CandidateMarkedBad || In.Verdict.Kind == VerdictKind::Bad;
  if (IsBad && !State.Candidate.empty())
    return this->decideBad(State, In);
  if (In.Now >= State.Deadline)
    return this->decideAtDeadline(State, In);
  if (State.Phase == MovePhase::Holding)
    return this->decideHolding(State, In);
  return this->decideShare(State, In);
}

MoveDecision MovePacer::decideHolding(const MoveState &State,
                                      const MoveInputs &In) const {
  // A new leader has the counters of some nodes only.
  if (In.Leading < this->Options.ReportResendTime)
    return keep(State);
  bool IsGood = this->isGood(State, In);
  MovePlan Plan = this->planOf(State, In);
  if (this->mustLowerShare(State, In))
    return Plan.affordableGain() < gainOf(State, State.To)
               ? this->endAsSuspect(State, In)
               : lowerShare(State, In);
  if (State.InForce != State.To)
    return this->decideLowered(State, In, Plan);
  if (IsGood && Plan.isHeld(In.Now - State.HeldSince, In.Now) &&
      this->knowsCallsAtTarget(State, In)) {
    MoveDecision Decision =
        endAs(State, MovePhase::Done, MoveReason::TargetHeld, In.Now);
    this->recordEvidence(Decision.Next, In);
    return Decision;
  }
  if (!IsGood || State.Evidence.Good)
    return keep(State);
  // A later leader may have to end the move based on this record alone.
  MoveDecision Decision = {MoveAction::SetShare, State, false};
  this->recordEvidence(Decision.Next, In);
  return Decision;
}

MoveDecision MovePacer::endAsSuspect(const MoveState &State,
                                     const MoveInputs &In) const {
  MoveDecision Decision =
      endAs(State, MovePhase::TakenBack, MoveReason::Suspect, In.Now);
  this->recordEvidence(Decision.Next, In);
  return Decision;
}

MoveDecision MovePacer::decideLowered(const MoveState &State,
                                      const MoveInputs &In,
                                      const MovePlan &Plan) const {
  bool IsCleared = In.Verdict.Kind != VerdictKind::Suspect &&
                   !this->lacksEvidence(State, In);
  bool IsAffordable = Plan.affordableGain() >= gainOf(State, State.To);
  if (Plan.isSpent() || (IsCleared && !IsAffordable))
    return this->endAsSuspect(State, In);
  bool IsDue = In.Now - State.LastStepAt >= this->Options.StepInterval;
  return IsCleared && IsDue ? restoreTarget(State, In) : keep(State);
}

bool MovePacer::knowsCallsAtTarget(const MoveState &State,
                                   const MoveInputs &In) const {
  double Held = std::chrono::duration<double>(In.Now - State.HeldSince).count();
  double Due =
      In.CallsPerSecond * Held * State.shareOf(State.Candidate).fraction();
  double Known = static_cast<double>(In.Verdict.CandidateCalls) -
                 static_cast<double>(State.Evidence.Calls);
  return KnownPart * Due < 1 || Known >= KnownPart * Due;
}

MoveDecision MovePacer::decideDone(const MoveState &State,
                                   const MoveInputs &In) const {
  if (!needsObservations(State, In.Now))
    return keep(State);
  // A candidate that is suspect at the end of the probation gets a second
  // probation period; if still suspect after it, the move is reverted.
  bool IsProbationOver = In.Now > State.EndedAt + 2 * State.Probation;
  bool IsSuspect = In.Verdict.Kind == VerdictKind::Suspect;
  if ((In.Verdict.Kind == VerdictKind::Bad || (IsProbationOver && IsSuspect)) &&
      hasCapacity(State.Fallback, In)) {
    MoveDecision Decision = {MoveAction::Revert, State, true};
    Decision.Next.InForce = State.Fallback;
    Decision.Next.Reverted = true;
    this->recordEvidence(Decision.Next, In);
    return Decision;
  }
  if (this->mustLowerShare(State, In))
    return lowerShare(State, In);
  if (In.Now - State.LastStepAt < this->Options.StepInterval)
    return keep(State);
  return State.InForce != State.To && !IsSuspect ? restoreTarget(State, In)
                                                 : keep(State);
}

MoveDecision MovePacer::decideAtDeadline(const MoveState &State,
                                         const MoveInputs &In) const {
  if (State.NeedsEvidence && In.RejectingFraction > 0.5)
    return this->decideBad(State, In);
  if (In.Leading < this->Options.ReportResendTime)
    return keep(State);
  bool IsSuspect = In.Verdict.Kind == VerdictKind::Suspect;
  bool IsGood =
      !IsSuspect && !this->lacksEvidence(State, In) &&
      (In.Verdict.Kind == VerdictKind::GoodSoFar || State.Evidence.Good);
  bool IsHeld = State.InForce == State.To;
  bool HasCapacity =
      this->gainWithinCapacity(State, In) >= gainOf(State, State.To);
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
  this->recordEvidence(Decision.Next, In);
  return Decision;
}

MoveDecision MovePacer::decideShare(const MoveState &State,
                                    const MoveInputs &In) const {
  double Target = gainOf(State, State.To);
  double Current = gainOf(State, State.InForce);
  double Next = Current;
  // A new leader has the counters of some nodes only.
  if (State.NeedsEvidence && In.Leading < this->Options.ReportResendTime)
    return keep(State);
  if (State.InForce != State.To) {
    if (this->mustLowerShare(State, In))
      return lowerShare(State, In);
    if (State.Phase != MovePhase::Pending &&
        In.Now - State.LastStepAt < this->Options.StepInterval)
      return keep(State);
    if (In.Verdict.Kind == VerdictKind::Suspect && Current > 0)
      return keep(State);
    Next = this->nextGain(State, In);
    bool IsSmall =
        Next < Target && Next >= Current && Next < Current * MinStepGrowth;
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
  Decision.Next.LastStepAt = In.Now;
  this->recordEvidence(Decision.Next, In);
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
  double Capacity = this->gainWithinCapacity(State, In);
  auto MaxStep = static_cast<double>(this->Options.MaxStepSize.parts());
  bool NeedsEvidence = State.NeedsEvidence && State.Driver == State.Candidate;
  if (!NeedsEvidence)
    return std::min(Target,
                    std::max(Current, std::min(Current + MaxStep, Capacity)));
  Duration Wait = In.CallsPerSecond > 0 ? FirstReportWait : MaxCallRateWait;
  if (State.Phase == MovePhase::Pending && In.Now - State.StartedAt < Wait)
    return Current;
  MovePlan Plan = this->planOf(State, In);
  double Wanted = std::min(this->wantedGain(State, In, Plan),
                           this->gainByRoutes(State, In, Plan));
  if (Plan.mustWait(In.Now))
    return std::min(Current, Plan.riseStart());
  // A route that has used up the calls for its evidence and still shows little
  // of it is more likely bad than unlucky.
  if (Plan.isSpent() && this->evidencePart(State, In) < LittleEvidence)
    return std::min(Current, Plan.gainForRest(In.Now));
  double First = static_cast<double>(this->Options.EarlyShareLimit.parts());
  double Bound = First;
  if (Current > 0)
    Bound = std::max(
        std::min(Current * this->Options.MaxStepFactor, Current + MaxStep),
        Wanted >= Target ? Target
                         : std::min(Wanted, Current * MaxUrgentStepFactor));
  double Next = std::floor(std::min({Wanted, Bound, Capacity, Target}));
  bool IsOverloaded = Capacity < Current * this->Options.CapacityFraction;
  return IsOverloaded ? std::max(0.0, std::floor(Capacity))
                      : std::max(Current, Next);
}

double MovePacer::gainByEvidence(const MoveState &State,
                                 const MoveInputs &In) const {
  if (In.CallsPerSecond <= 0)
    return 0;
  auto Calls = static_cast<double>(In.Verdict.CandidateCalls);
  double Rate = this->Options.InitialCallRate * In.Routes +
                this->Options.CallRateGrowth * Calls;
  double Gain = std::max(1.0, Rate / In.CallsPerSecond * Share::Whole);
  if (Calls < static_cast<double>(this->Options.MinEarlyCalls) * In.Routes)
    Gain = std::min(Gain, this->gainWithinEarlyLimit(In));
  return std::min(Gain, gainOf(State, State.To));
}

MovePlan MovePacer::planOf(const MoveState &State, const MoveInputs &In) const {
  return MovePlan::create(State, In,
                          {this->Options.Exposure, gainOf(State, State.To),
                           this->Options.StepInterval,
                           this->evidenceSeconds(State, In)});
}

double MovePacer::wantedGain(const MoveState &State, const MoveInputs &In,
                             const MovePlan &Plan) const {
  double Target = gainOf(State, State.To);
  double Planned = Plan.gainAt(In.Now);
  // The target is due, or it would not be in force in time.
  if (Planned >= Target)
    return Target;
  if (In.CallsPerSecond <= 0)
    return std::min(Target, std::max(Planned, DefaultPlanStart));
  double Early =
      std::min(this->gainByEvidence(State, In), Plan.gainBeforeRise(In.Now));
  return std::min(std::max({Planned, Early, Plan.gainForEvidence(In.Now)}),
                  Plan.affordableGain());
}

double MovePacer::gainWithinCapacity(const MoveState &State,
                                     const MoveInputs &In) const {
  auto Settled =
      static_cast<double>(shareIn(State.Fallback, State.Driver).parts());
  auto Found = In.Capacity.find(State.Driver);
  if (Found == In.Capacity.end() || Found->second <= 0)
    return -Settled;
  if (In.CallsInFlight <= 0)
    return Share::Whole;
  return this->Options.CapacityFraction * Found->second / In.CallsInFlight *
             Share::Whole -
         Settled;
}

} // namespace amaranthward
