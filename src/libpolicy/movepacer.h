#ifndef AMARANTHWARD_LIBPOLICY_MOVEPACER_H
#define AMARANTHWARD_LIBPOLICY_MOVEPACER_H

#include "libpolicy/movestart.h"
#include "libpolicy/versionanalysis.h"
#include <map>

namespace amaranthward {

/// What the leader knows at the time of one decision.
struct MoveInputs {
  WallTime Now;
  /// The analysis of the move's candidate against its baseline.
  AnalysisVerdict Verdict;
  /// Calls per second of the whole service; 0 while unknown.
  double CallsPerSecond = 0;
  /// Calls of the whole service since the move began, from the same counters
  /// as the verdict.
  std::uint64_t AllCalls = 0;
  /// Calls of the whole service in flight (rate times mean latency).
  double Demand = 0;
  /// Calls that each version's live upstreams can hold at the same time; a
  /// version that is absent has no upstreams.
  std::map<VersionName, double> Capacity;
  /// Part of the reporting nodes whose local share reduction rejects the
  /// candidate; 0 when not known. Decides only once the deadline has passed.
  double RejectingNodes = 0;
  /// Time since this leader took over.
  Duration Leading = Duration::max();
  /// Number of routes of the service that carry traffic.
  std::uint32_t Routes = 1;
  /// The mark "bad" exists for this move's candidate.
  bool CandidateMarkedBad = false;
};

enum class MoveAction {
  Keep,
  /// Write Next: its split, phase or evidence has changed.
  SetShare,
  /// Write Next, which has ended, and report it.
  End,
  /// The candidate turned bad after the move was done. Write Next, whose
  /// InForce is the fallback; the outcome that was reported stays Done.
  Revert,
};

const char *toString(MoveAction Action);

struct MoveDecision {
  MoveAction Action = MoveAction::Keep;
  /// Equal to the state passed in when \a Action is Keep.
  MoveState Next;
  /// The candidate is to be marked bad.
  bool MarkBad = false;
};

struct PacerOptions {
  Duration StepInterval = std::chrono::seconds(1);
  /// Candidate calls per second and route before there is evidence.
  double FirstRate = 2;
  /// Growth of the candidate's calls per second with each call seen.
  double RatePerCall = 0.8;
  /// Share of the first step at most, and of all calls of the move that the
  /// candidate may have had until there are EarlyCalls per route.
  Share EarlyShare = Share(100);
  std::uint32_t EarlyCalls = 300;
  /// Largest factor and largest difference of one step.
  double StepFactor = 2;
  Share StepSize = Share(2500);
  /// Time that a new leader waits for the nodes to send their counters again
  /// before it ends a move whose deadline has passed.
  Duration ResendWait = std::chrono::seconds(1);
  /// Part of a version's capacity that a step may use.
  double CapacityPart = 0.8;
};

/// Decides each step of a move. A suspect candidate gets half of all calls at
/// most, which gives it a concurrent baseline again. The pacer has no state of
/// its own: everything is in the MoveState, which the log stores.
class MovePacer {
public:
  /// Fails with InvalidArgument on options that allow no step.
  static Result<MovePacer> create(PacerOptions Options = {});

  /// Never changes a move that has ended, but for Revert.
  MoveDecision decide(const MoveState &State, const MoveInputs &Inputs) const;

  /// Whether observations on the move are still wanted: it is open, or done
  /// and within the time in which Revert is possible.
  static bool isWatched(const MoveState &State, WallTime Now);

private:
  explicit MovePacer(PacerOptions Options) : Options(Options) {}

  MoveDecision decideShare(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideHolding(const MoveState &State,
                             const MoveInputs &In) const;
  MoveDecision decideDone(const MoveState &State, const MoveInputs &In) const;
  MoveDecision decideAtDeadline(const MoveState &State,
                                const MoveInputs &In) const;
  /// Shares of the driver beyond its share in the fallback, in parts.
  double evidenceGain(const MoveState &State, const MoveInputs &In) const;
  double earlyGain(const MoveInputs &In) const;
  double plannedGain(const MoveState &State, const MoveInputs &In) const;
  double capacityGain(const MoveState &State, const MoveInputs &In) const;
  double nextGain(const MoveState &State, const MoveInputs &In) const;

  PacerOptions Options;
};

} // namespace amaranthward

#endif
