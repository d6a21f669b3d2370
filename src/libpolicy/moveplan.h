#ifndef AMARANTHWARD_LIBPOLICY_MOVEPLAN_H
#define AMARANTHWARD_LIBPOLICY_MOVEPLAN_H

#include "libpolicy/exposurebudget.h"

namespace amaranthward {

/// Timetable of a move that needs evidence, planned backwards from its deadline
/// such that the candidate's calls stay within the ExposureBudget at whatever
/// moment or share it turns bad. The share is low until shortly before the
/// deadline, then rises in steps that are as far apart as a verdict on the last
/// one takes, and each is so much larger than the last one that the sum of the
/// calls before it is small.
///
/// A gain is the share of the candidate beyond its share in the fallback split,
/// in parts per 10,000.
class MovePlan {
public:
  struct Options {
    ExposureLimit Limit;
    /// Gain of the target split.
    double Target = Share::Whole;
    /// Minimum time between two steps.
    Duration StepInterval = std::chrono::seconds(1);
    /// Seconds of all calls of the service that the candidate must still get
    /// until each route has shown enough of them.
    double EvidenceSeconds = 0;
  };

  static MovePlan create(const MoveState &State, const MoveInputs &In,
                         const Options &Given);

  /// Gain to be in force at \a Now. Nearly 0 before the rise.
  double gainAt(WallTime Now) const;
  /// Largest gain at \a Now that leaves enough of the budget for the rise; 0
  /// when the rise is so close that a step would delay it.
  double gainBeforeRise(WallTime Now) const;
  /// Gain at \a Now that gives each route its evidence by the time of the rise,
  /// or of the target once the share rises.
  double gainForEvidence(WallTime Now) const;
  /// Whether the candidate has used up the calls for the time before the rise,
  /// and each route has its evidence.
  bool mustWait(WallTime Now) const;
  /// Whether the candidate has used up its budget.
  bool isSpent() const;
  /// Gain that the budget bears until the deadline.
  double gainForRest(WallTime Now) const;
  /// Gain at which a candidate waits that must wait.
  double riseStart() const;
  /// Largest gain whose calls the budget can pay until a verdict acts.
  double affordableGain() const;
  /// Whether the target has been in force for long enough after \a Held: for
  /// the time planned, or until the budget is used up or the move must end to
  /// be recorded by its deadline.
  bool isHeld(Duration Held, WallTime Now) const;

private:
  MovePlan(const ExposureBudget &Budget, double Target)
      : Budget(Budget), Target(Target) {}
  /// Sets the calls for the time before the rise, and returns the seconds of
  /// all calls that are left for the rise and the time at the target.
  double divideBudget();
  /// Divides \a Seconds, the time at the target share that the budget bears,
  /// between the rise and the time at the target.
  void setRise(double Seconds, Duration LongestHold);

  ExposureBudget Budget;
  double Target;
  double CallsPerSecond = 0;
  /// Time between two steps of the rise.
  Duration StepTime = Duration::zero();
  /// Each step multiplies the gain by this.
  double StepFactor = 1;
  /// Time at the target, without the time until its last calls are reported.
  Duration Hold = Duration::zero();
  /// Times at which the target is due, the rise begins, and the move must end.
  WallTime TargetAt;
  WallTime RiseAt;
  WallTime EndBy;
  WallTime Deadline;
  /// Calls for the time before the rise, and the seconds of all calls that the
  /// routes need as evidence.
  double EarlyCalls = 0;
  double EvidenceSeconds = 0;
};

} // namespace amaranthward

#endif
