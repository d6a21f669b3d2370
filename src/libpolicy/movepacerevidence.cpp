#include "libpolicy/movepacer.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {
namespace {

/// Fraction of EarlyShareLimit that is used.
constexpr double EarlyShareUsed = 0.9;
/// A step must keep within the limit for this many seconds of calls, because a
/// verdict takes time to reach every node.
constexpr double EarlyHorizonSeconds = 1.5;
/// Part of the exposure limit that the evidence on one route may cost.
constexpr double MaxEvidencePart = 0.45;
/// Shortest time over which the call rate of a route is computed.
constexpr double MinRateSeconds = 0.5;

double secondsBetween(WallTime From, WallTime Until) {
  return std::chrono::duration<double>(Until - From).count();
}

/// Calls of both versions per second since the start of the move.
double callRate(const UnjudgedRoute &Route, const MoveState &State,
                WallTime Now) {
  double Seconds =
      std::max(secondsBetween(State.StartedAt, Now), MinRateSeconds);
  return static_cast<double>(Route.AllCalls) / Seconds;
}

} // namespace

void MovePacer::recordEvidence(MoveState &State, const MoveInputs &In) const {
  const AnalysisVerdict &Verdict = In.Verdict;
  State.Evidence.Calls = std::max(State.Evidence.Calls, Verdict.CandidateCalls);
  State.Evidence.Good = State.Evidence.Good || this->isGood(State, In);
  if (!Verdict.Bad)
    return;
  State.Evidence.Good = false;
  State.Evidence.BadRoute = Verdict.Bad->Route;
  State.Evidence.BadFault = Verdict.Bad->Fault;
}

bool MovePacer::needsEvidence(const UnjudgedRoute &Route,
                              const MoveState &State,
                              const MoveInputs &In) const {
  double Rate = callRate(Route, State, In.Now);
  double Calls = Rate * secondsBetween(State.StartedAt, State.Deadline);
  if (Calls <= this->Options.MaxUnjudgedCalls)
    return false;
  // The calls of the service during the evidence, against those allowed.
  double Cost = Route.NeededCalls / Rate * In.CallsPerSecond;
  double Allowed =
      ExposureBudget::create(State, In, this->Options.Exposure).allowed();
  return Cost <= MaxEvidencePart * Allowed;
}

bool MovePacer::lacksEvidence(const MoveState &State,
                              const MoveInputs &In) const {
  const auto &Routes = In.Verdict.Unjudged;
  return std::any_of(Routes.begin(), Routes.end(), [&](const auto &Each) {
    return this->needsEvidence(Each, State, In);
  });
}

bool MovePacer::lacksBaseline(const MoveState &State,
                              const MoveInputs &In) const {
  const auto &Routes = In.Verdict.Unjudged;
  return std::any_of(Routes.begin(), Routes.end(), [&](const auto &Each) {
    return !Each.HasBaseline && this->needsEvidence(Each, State, In);
  });
}

bool MovePacer::isGood(const MoveState &State, const MoveInputs &In) const {
  return In.Verdict.Kind == VerdictKind::GoodSoFar &&
         !this->lacksEvidence(State, In);
}

double MovePacer::gainByRoutes(const MoveState &State, const MoveInputs &In,
                               const MovePlan &Plan) const {
  double Gain = Share::Whole;
  double Allowed = std::max(this->gainWithinUnjudgedLimit(State, In),
                            Plan.gainForEvidence(In.Now));
  for (const UnjudgedRoute &Each : In.Verdict.Unjudged) {
    if (!this->needsEvidence(Each, State, In))
      continue;
    double Rate = this->Options.InitialCallRate +
                  this->Options.CallRateGrowth * Each.GoodCalls;
    double Justified = Rate / callRate(Each, State, In.Now) * Share::Whole;
    Gain = std::min(Gain, std::max(Justified, Allowed));
    if (!Each.HasBaseline)
      Gain = std::min(Gain, static_cast<double>(MaxSuspectShare.parts()));
  }
  return std::max(1.0, std::floor(Gain));
}

double MovePacer::evidencePart(const MoveState &State,
                               const MoveInputs &In) const {
  double Part = 1;
  for (const UnjudgedRoute &Each : In.Verdict.Unjudged)
    if (this->needsEvidence(Each, State, In) && Each.NeededCalls > 0)
      Part = std::min(Part, Each.GoodCalls / Each.NeededCalls);
  return Part;
}

double MovePacer::evidenceSeconds(const MoveState &State,
                                  const MoveInputs &In) const {
  double Seconds = 0;
  for (const UnjudgedRoute &Each : In.Verdict.Unjudged)
    if (this->needsEvidence(Each, State, In))
      Seconds = std::max(Seconds, (Each.NeededCalls - Each.GoodCalls) /
                                      callRate(Each, State, In.Now));
  return Seconds;
}

double MovePacer::gainWithinUnjudgedLimit(const MoveState &State,
                                          const MoveInputs &In) const {
  if (In.CallsPerSecond <= 0)
    return 0;
  double AllCalls =
      In.CallsPerSecond * secondsBetween(State.StartedAt, State.Deadline);
  double CallsLeft = this->Options.UnjudgedShareLimit.fraction() * AllCalls -
                     static_cast<double>(In.Verdict.CandidateCalls);
  return CallsLeft / (In.CallsPerSecond * EarlyHorizonSeconds) * Share::Whole;
}

double MovePacer::gainWithinEarlyLimit(const MoveInputs &In) const {
  double Fraction = this->Options.EarlyShareLimit.fraction() * EarlyShareUsed;
  double ExpectedCalls = In.CallsPerSecond * EarlyHorizonSeconds;
  double Allowed =
      Fraction * (static_cast<double>(In.AllCalls) + ExpectedCalls);
  double CallsLeft = Allowed - static_cast<double>(In.Verdict.CandidateCalls);
  return std::max(1.0, CallsLeft / ExpectedCalls * Share::Whole);
}

} // namespace amaranthward
