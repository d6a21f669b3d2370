#ifndef AMARANTHWARD_LIBCONTROL_STARTMOVE_H
#define AMARANTHWARD_LIBCONTROL_STARTMOVE_H

#include "libcontrol/controldata.h"

namespace amaranthward {

/// An operator's order to move all traffic of a service to one version.
struct OperatorMoveRequest {
  ServiceName Service;
  VersionName Target;
  /// Time from the order to its end, done or taken back.
  Duration Within{0};
};

/// Command that begins an ordered move of a service whose versions are those
/// that its upstreams announce.
class StartMove {
public:
  static constexpr const char *Kind = "start";
  /// Part of the move's time in which the target is held before it is done.
  static constexpr int ProbationPart = 5;

  /// \param Baseline the version that carries the traffic now.
  /// Fails with InvalidArgument when a name is empty, both versions are the
  /// same, or the time is not positive.
  static Result<StartMove> create(OperatorMoveRequest Order,
                                  VersionName Baseline, WallTime At);
  static Result<StartMove> fromJson(const Json &Value);
  Json toJson() const;

  /// The newest move of the service has the same target.
  static bool decidedAlready(const ControlData &Data,
                             const OperatorMoveRequest &Order);
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
