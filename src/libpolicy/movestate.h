#ifndef AMARANTHWARD_LIBPOLICY_MOVESTATE_H
#define AMARANTHWARD_LIBPOLICY_MOVESTATE_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/units.h"
#include "libpolicy/routeanalysis.h"
#include <map>
#include <string>

namespace amaranthward {

/// Upper limit on the share of a suspect version, or of one without a baseline
/// on a route (50%), so that the baseline gets as many calls to compare with
/// until the verdict is clear.
inline constexpr Share MaxSuspectShare = Share(5000);

/// Share of calls per version. Valid splits add up to Share::Whole.
using Split = std::map<VersionName, Share>;

enum class MovePhase {
  Pending,    ///< No step has been taken yet.
  Shifting,   ///< The share is changing step by step.
  Holding,    ///< The target was reached and the version is on probation.
  Done,       ///< Ended with the target split.
  TakenBack,  ///< Ended by a rollback to the fallback split.
  Superseded, ///< Ended because a new move replaced it.
};

/// Why a move ended.
enum class MoveReason {
  /// The move is open.
  None,
  /// The target was in force until the move was done.
  TargetHeld,
  /// The analysis found the candidate bad during this move.
  BadVersion,
  /// The candidate had been marked bad already.
  MarkedBad,
  /// At the deadline there were too few calls to judge the candidate.
  NoEvidence,
  /// The upstreams of the growing version could not serve the target share.
  NoCapacity,
  /// The deadline passed before the target was in force, for example because
  /// there was no leader.
  DeadlinePassed,
  /// The candidate was suspect at the deadline; it is not marked bad.
  Suspect,
  /// A move with another target replaced this one.
  NewTarget,
};

const char *toString(MovePhase Phase);
const char *toString(MoveReason Reason);
/// Both parse the names that toString() writes and fail with InvalidArgument on
/// any other text.
Result<MovePhase> parseMovePhase(const std::string &Text);
Result<MoveReason> parseMoveReason(const std::string &Text);

/// Summary of the evidence on the candidate when the state was stored.
struct MoveEvidence {
  /// Largest number of candidate calls observed.
  std::uint64_t Calls = 0;
  /// The verdict has been GoodSoFar and not Bad since.
  bool Good = false;
  /// Route and fault of the verdict Bad; the route is empty without one.
  RouteName BadRoute;
  FaultKind BadFault = FaultKind::Failures;

  friend bool operator==(const MoveEvidence &, const MoveEvidence &) = default;
};

/// The complete state of one move; stored in the replicated log with each step.
struct MoveState {
  std::string Id;
  ServiceName Service;
  MovePhase Phase = MovePhase::Pending;
  MoveReason Reason = MoveReason::None;

  /// The version whose share grows most from From to To; its share measures the
  /// progress of the move.
  VersionName Driver;
  /// The unproven version that is compared with \a Baseline: the one that gains
  /// most over the fallback split. Empty when there is none.
  VersionName Candidate;
  /// The other version with the largest share in the fallback split; may be
  /// empty.
  VersionName Baseline;
  /// The target gives the candidate a larger share than the fallback does, so
  /// the move needs evidence that the candidate is good.
  bool NeedsEvidence = true;

  /// Split in force when the move started.
  Split From;
  /// Target split.
  Split To;
  /// Split that a rollback restores: the one in force before this move and
  /// before the open moves that it replaced.
  Split Fallback;
  /// Split in force after the last step.
  Split InForce;

  WallTime StartedAt;
  WallTime Deadline;
  WallTime LastStepAt;
  /// Time at which the target was reached; valid in phase Holding.
  WallTime HeldSince;
  WallTime EndedAt;
  /// Time for which the candidate is observed at the target and after the end.
  Duration Probation = Duration::zero();
  MoveEvidence Evidence;
  /// The candidate was found bad after the move was done, and the fallback
  /// split is in force again.
  bool Reverted = false;

  /// Returns this move ended at \a Now. TakenBack puts the fallback in force,
  /// Done the target; Superseded keeps the split.
  MoveState endedAs(MovePhase Phase, MoveReason Reason, WallTime Now) const;
  bool ended() const { return this->Phase >= MovePhase::Done; }
  /// Time for which the target must be in force before the move is done: the
  /// probation, but at most half of the time from start to deadline.
  Duration holdTime() const;
  /// Share of \a Version in the split in force.
  Share shareOf(const VersionName &Version) const;
  /// Interpolates between From and To such that the driver gets \a Progress;
  /// always adds up to Share::Whole.
  Split splitAt(Share Progress) const;

  static Json toJson(const MoveState &State);
  /// Fails with InvalidArgument on a missing field or an unknown name.
  static Result<MoveState> fromJson(const Json &Value);

  friend bool operator==(const MoveState &, const MoveState &) = default;
};

/// Share of \a Version in \a Shares; zero when it has no entry.
Share shareIn(const Split &Shares, const VersionName &Version);
/// Fails with InvalidArgument unless the shares add up to Share::Whole.
Result<void> checkSplit(const Split &Shares);
/// Object with the version names as keys and parts per 10,000 as values.
Json splitToJson(const Split &Shares);
/// Fails with InvalidArgument on malformed shares or a split that checkSplit()
/// rejects.
Result<Split> splitFromJson(const Json &Value);

} // namespace amaranthward

#endif
