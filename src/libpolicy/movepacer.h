#ifndef AMARANTHWARD_LIBPOLICY_MOVEPACER_H
#define AMARANTHWARD_LIBPOLICY_MOVEPACER_H

#include "libpolicy/moveplan.h"
#include "libpolicy/movestart.h"

namespace amaranthward {

enum class MoveAction {
  Keep,
  /// Store Next: its split, phase or evidence has changed.
  SetShare,
  /// Store Next, which has ended, and report the outcome.
  End,
  /// The candidate was found bad after the move was done. Store Next, whose
  /// InForce is the fallback split; the reported outcome stays Done.
  Revert,
};

const char *toString(MoveAction Action);

struct MoveDecision {
  MoveAction Action = MoveAction::Keep;
  /// Equal to the state passed in when \a Action is Keep.
  MoveState Next;
  /// The caller must mark the candidate bad.
  bool MarkBad = false;
};

struct PacerOptions {
  /// Minimum time between two steps of a move.
  Duration StepInterval = std::chrono::seconds(1);
  /// Candidate calls per second and route to aim for before there is evidence.
  double InitialCallRate = 2;
  /// Calls per second that each observed candidate call adds to that aim.
  double CallRateGrowth = 0.8;
  /// Limit for the first step, and for the candidate's part of all calls of the
  /// move until it has had MinEarlyCalls per route. Bounds the calls that a
  /// version bad from the start receives.
  Share EarlyShareLimit = Share(100);
  std::uint32_t MinEarlyCalls = 300;
  /// A step multiplies the candidate's added share by at most MaxStepFactor and
  /// adds at most MaxStepSize.
  double MaxStepFactor = 2;
  Share MaxStepSize = Share(2500);
  /// Time that a new leader waits for the nodes to resend their counters before
  /// it ends a move whose deadline has passed.
  Duration ReportResendTime = std::chrono::seconds(1);
  /// Fraction of a version's capacity that a step may use.
  double CapacityFraction = 0.8;
  /// A route that gets fewer calls than this from the start of the move to its
  /// deadline needs no evidence of its own: a move would otherwise wait for
  /// calls that do not come. A version that is bad there only fails fewer calls
  /// than that before the deadline. The same holds for a route with so small a
  /// part of the calls that its evidence would use up the exposure limit.
  double MaxUnjudgedCalls = 50;
  /// Part of all calls from the start of the move to its deadline that the
  /// candidate may get while a route lacks evidence, if the plan demands it.
  Share UnjudgedShareLimit = Share(400);
  /// Limit on the candidate's calls, which the MovePlan keeps.
  ExposureLimit Exposure = {};
};

/// Decides the steps of a move, which shifts the traffic of a service from one
/// split between versions to another. The share follows the MovePlan and grows
/// no faster than the evidence on each single route allows, because a version
/// may be bad on one route only. A suspect candidate, or one without a baseline
/// on a route, is limited to half of all calls, so that there is a concurrent
/// baseline to compare it with. Stateless: the replicated log stores the
/// MoveState, so that a new leader can continue a move.
class MovePacer {
public:
  /// Fails with InvalidArgument unless StepInterval, MaxStepSize and
  /// CapacityFraction are positive and MaxStepFactor exceeds 1.
  static Result<MovePacer> create(PacerOptions Options = {});

  /// Returns the next step of \a State. A move that has ended keeps its phase
  /// and outcome; one that is done may still get its share lowered, restored or
  /// reverted while observations on it are needed.
  MoveDecision decide(const MoveState &State, const MoveInputs &Inputs) const;

  /// Whether decide() still needs observations on the move: it is open, or done
  /// and its candidate may still be reverted.
  static bool needsObservations(const MoveState &State, WallTime Now);

private:
  explicit MovePacer(PacerOptions Options) : Options(Options) {}

  MoveDecision decideBad(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideShare(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideHolding(const MoveState &State,
                             const MoveInputs &In) const;
  /// The share was lowered from the target: restores it, or takes the move back
  /// when the calls that the candidate may still get do not suffice.
  MoveDecision decideLowered(const MoveState &State, const MoveInputs &In,
                             const MovePlan &Plan) const;
  /// Takes the move back without marking the candidate bad.
  MoveDecision endAsSuspect(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideDone(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideAtDeadline(const MoveState &State,
                                const MoveInputs &In) const;
  // A gain is the share of the move's driver beyond its share in the fallback
  // split, in parts per 10,000.
  /// Gain that the candidate's observed calls justify.
  double gainByEvidence(const MoveState &State, const MoveInputs &In) const;
  /// Largest gain that the evidence on each route with calls justifies, that
  /// keeps the candidate within UnjudgedShareLimit, or that the plan has for
  /// evidence; the whole share when all routes are judged.
  double gainByRoutes(const MoveState &State, const MoveInputs &In,
                      const MovePlan &Plan) const;
  /// Whether the route gets enough calls that it needs evidence of its own.
  bool needsEvidence(const UnjudgedRoute &Route, const MoveState &State,
                     const MoveInputs &In) const;
  /// Whether a route that needs evidence of its own has too little.
  bool lacksEvidence(const MoveState &State, const MoveInputs &In) const;
  /// Whether such a route has no baseline to compare the candidate with.
  bool lacksBaseline(const MoveState &State, const MoveInputs &In) const;
  /// Whether the candidate shows no fault and no route lacks evidence.
  bool isGood(const MoveState &State, const MoveInputs &In) const;
  /// Stores the evidence of \a In in \a State, for later leaders.
  void recordEvidence(MoveState &State, const MoveInputs &In) const;
  /// Whether the share has to be lowered to restore the concurrent baseline.
  bool mustLowerShare(const MoveState &State, const MoveInputs &In) const;
  /// Gain that keeps the candidate within UnjudgedShareLimit.
  double gainWithinUnjudgedLimit(const MoveState &State,
                                 const MoveInputs &In) const;
  /// Gain that keeps the candidate within EarlyShareLimit.
  double gainWithinEarlyLimit(const MoveInputs &In) const;
  /// Part of the evidence that the route with the least of it has shown; 1 when
  /// none lacks evidence.
  double evidencePart(const MoveState &State, const MoveInputs &In) const;
  /// See MovePlan::Options::EvidenceSeconds.
  double evidenceSeconds(const MoveState &State, const MoveInputs &In) const;
  MovePlan planOf(const MoveState &State, const MoveInputs &In) const;
  /// Gain that the plan and the evidence on the candidate ask for.
  double wantedGain(const MoveState &State, const MoveInputs &In,
                    const MovePlan &Plan) const;
  /// Whether the leader knows of calls that were answered at the target.
  bool knowsCallsAtTarget(const MoveState &State, const MoveInputs &In) const;
  /// Largest gain that the driver's upstreams can serve.
  double gainWithinCapacity(const MoveState &State, const MoveInputs &In) const;
  /// Gain of the next step; equals the present one when no step is due.
  double nextGain(const MoveState &State, const MoveInputs &In) const;

  PacerOptions Options;
};

} // namespace amaranthward

#endif
