#include "baselines.h"

#include <algorithm>

namespace amaranthward {
namespace {

constexpr std::size_t WindowSteps = 50;
constexpr std::uint64_t LeastCalls = 20;
constexpr double MostFailures = 0.05;
constexpr double MostSlow = 0.05;

bool isBad(const CallCounters &Candidate, const CallCounters &Baseline) {
  if (Candidate.Calls < LeastCalls)
    return false;
  auto Calls = static_cast<double>(Candidate.Calls);
  if (static_cast<double>(Candidate.Failures) > MostFailures * Calls)
    return true;
  std::size_t Slow = Baseline.Latency.bucketAbove(0.01) + 2;
  return Baseline.Latency.total() > 0 &&
         static_cast<double>(Candidate.Latency.countFrom(Slow)) >
             MostSlow * Calls;
}

} // namespace

MoveDecision decideBySchedule(const MoveState &State, const MoveInputs &In,
                              const std::vector<Share> &Schedule) {
  MoveDecision Decision = {MoveAction::Keep, State, false};
  bool IsBad = In.Verdict.Kind == VerdictKind::Bad;
  if (State.ended() && (!IsBad || !MovePacer::needsObservations(State, In.Now)))
    return Decision;
  if (IsBad) {
    Decision.Action = State.ended() ? MoveAction::Revert : MoveAction::End;
    Decision.Next.Reverted = State.ended();
    if (!State.ended()) {
      Decision.Next.Phase = MovePhase::TakenBack;
      Decision.Next.Reason = MoveReason::BadVersion;
      Decision.Next.EndedAt = In.Now;
    }
    Decision.Next.InForce = State.Fallback;
    return Decision;
  }
  Duration Window = State.Deadline - State.holdTime() - State.StartedAt;
  auto Count = static_cast<Duration::rep>(Schedule.size());
  auto At = (In.Now - State.StartedAt) * Count / Window;
  Share Wanted = Schedule[std::min<std::size_t>(At, Schedule.size() - 1)];
  if (In.Now >= State.Deadline) {
    Decision.Action = MoveAction::End;
    Decision.Next.Phase = MovePhase::Done;
    Decision.Next.Reason = MoveReason::TargetHeld;
    Decision.Next.EndedAt = In.Now;
    Decision.Next.InForce = State.To;
  } else if (Wanted > State.shareOf(State.Driver)) {
    Decision.Action = MoveAction::SetShare;
    Decision.Next.Phase = MovePhase::Shifting;
    Decision.Next.InForce = State.splitAt(Wanted);
  }
  return Decision;
}

AnalysisVerdict
FixedThresholds::step(const std::map<RouteName, RouteTotals> &Totals) {
  if (this->Verdict.Kind == VerdictKind::Bad)
    return this->Verdict;
  this->Verdict = {};
  for (const auto &[Route, Newest] : Totals) {
    auto &Seen = this->History[Route];
    this->Verdict.CandidateCalls += Newest.Candidate.Calls;
    RouteTotals Oldest = Seen.size() < WindowSteps
                             ? RouteTotals()
                             : Seen[Seen.size() - WindowSteps];
    if (isBad(Newest.Candidate.since(Oldest.Candidate),
              Newest.Baseline.since(Oldest.Baseline)))
      this->Verdict.Bad = BadEvidence{Route, FaultKind::Failures, 0, 0, 0, 0};
    Seen.push_back(Newest);
    if (Seen.size() > 2 * WindowSteps)
      Seen.erase(Seen.begin(), Seen.begin() + WindowSteps);
  }
  if (this->Verdict.Bad)
    this->Verdict.Kind = VerdictKind::Bad;
  else if (this->Verdict.CandidateCalls >= LeastCalls)
    this->Verdict.Kind = VerdictKind::GoodSoFar;
  return this->Verdict;
}

} // namespace amaranthward
