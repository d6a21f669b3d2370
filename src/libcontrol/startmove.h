#ifndef AMARANTHWARD_LIBCONTROL_STARTMOVE_H
#define AMARANTHWARD_LIBCONTROL_STARTMOVE_H

#include "libcontrol/controldata.h"

namespace amaranthward {

/// An operator's order to move all traffic of a service to one version.
struct OperatorMoveRequest {
  ServiceName Service;
  VersionName Target;
  /// Time from the order by which the move is done or rolled back.
  Duration Within{0};
};

/// Command that starts the move an operator ordered, for a service whose
/// versions are those that its upstreams announce.
class StartMove {
public:
  static constexpr const char *Kind = "start";
  /// The probation of the target, during which its full share is held before
  /// the move is done, is the move's time divided by this.
  static constexpr int ProbationDivisor = 5;

  /// \param Baseline the version that receives the traffic now.
  /// Fails with InvalidArgument when a name is empty, both versions are the
  /// same, or the time is not positive.
  static Result<StartMove> create(OperatorMoveRequest Order,
                                  VersionName Baseline, WallTime At);
  static Result<StartMove> fromJson(const Json &Value);
  Json toJson() const;

  /// Whether the newest move of the service, open or finished, has the same
  /// target.
  static bool isNewestTarget(const ControlData &Data,
                             const OperatorMoveRequest &Order);
  /// Removes a bad mark of the target. Changes nothing when the service is
  /// unknown or its newest move has the same target.
  void execute(ControlData &Data, Revision At) const;

private:
  StartMove(OperatorMoveRequest Order, VersionName Baseline, WallTime At)
      : Order(std::move(Order)), Baseline(std::move(Baseline)), At(At) {}

  OperatorMoveRequest Order;
  VersionName Baseline;
  WallTime At;
};

} // namespace amaranthward

#endif
