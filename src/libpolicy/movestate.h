#ifndef AMARANTHWARD_LIBPOLICY_MOVESTATE_H
#define AMARANTHWARD_LIBPOLICY_MOVESTATE_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/units.h"
#include "libpolicy/routeanalysis.h"
#include <map>
#include <string>

namespace amaranthward {

/// A version that is suspect gets this share at most, so that the baseline has
/// as many calls to compare with until the verdict is clear.
inline constexpr Share LargestSuspectShare = Share(5000);

using Split = std::map<VersionName, Share>;

enum class MovePhase {
  Pending,  ///< No step has been taken.
  Shifting, ///< The share is on its way.
  Holding,  ///< The target is in force and the version is on probation.
  Done,
  TakenBack,
  Superseded,
};

enum class MoveReason {
  None,
  TargetHeld,
  BadVersion,
  MarkedBad,
  NoEvidence,
  NoCapacity,
  /// The deadline passed before the target was in force, for example because
  /// there was no leader.
  DeadlinePassed,
  /// The candidate was suspect at the deadline; it is not marked bad.
  Suspect,
  NewTarget,
};

const char *toString(MovePhase Phase);
const char *toString(MoveReason Reason);
Result<MovePhase> movePhaseFrom(const std::string &Text);
Result<MoveReason> moveReasonFrom(const std::string &Text);

/// Summary of the evidence that a record rested on.
struct MoveEvidence {
  std::uint64_t Calls = 0;
  bool Good = false;
  /// Set when the move ended with MoveReason::BadVersion.
  RouteName BadRoute;
  FaultKind BadKind = FaultKind::Failures;

  friend bool operator==(const MoveEvidence &, const MoveEvidence &) = default;
};

/// Everything that is known of one move; stored in the log with every step.
struct MoveState {
  std::string Id;
  ServiceName Service;
  MovePhase Phase = MovePhase::Pending;
  MoveReason Reason = MoveReason::None;

  /// The version whose share grows most; its share measures the progress.
  VersionName Driver;
  /// The unproven version that is compared with \a Baseline; may be empty.
  VersionName Candidate;
  VersionName Baseline;
  /// The target gives the candidate more than it had in the settled split.
  bool NeedsEvidence = true;

  Split From;
  Split To;
  /// The settled split, where a rollback leads.
  Split Fallback;
  Split InForce;

  WallTime StartedAt;
  WallTime Deadline;
  WallTime SteppedAt;
  WallTime HeldSince;
  WallTime EndedAt;
  Duration Probation = Duration::zero();
  MoveEvidence Evidence;
  /// The move was done and its candidate turned bad afterwards.
  bool Reverted = false;

  /// This move, ended at \a Now with the split that the phase leads to.
  MoveState endedAs(MovePhase Phase, MoveReason Reason, WallTime Now) const;
  bool ended() const { return this->Phase >= MovePhase::Done; }
  /// Time for which the target is held before the move is done: the probation,
  /// but at most half of the time that the move has.
  Duration holdTime() const;
  Share shareOf(const VersionName &Version) const;
  /// The split on the way from From to To in which the driver has \a Progress.
  Split splitAt(Share Progress) const;

  static Json toJson(const MoveState &State);
  /// Fails with InvalidArgument on a missing field or an unknown name.
  static Result<MoveState> fromJson(const Json &Value);

  friend bool operator==(const MoveState &, const MoveState &) = default;
};

Share shareIn(const Split &Shares, const VersionName &Version);
/// Fails with InvalidArgument unless the shares add up to Share::Whole.
Result<void> checkSplit(const Split &Shares);
Json splitToJson(const Split &Shares);
/// Fails with InvalidArgument on anything that checkSplit refuses.
Result<Split> splitFromJson(const Json &Value);

} // namespace amaranthward

#endif
