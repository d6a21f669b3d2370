#ifndef AMARANTHWARD_LIBPOLICY_MOVESTART_H
#define AMARANTHWARD_LIBPOLICY_MOVESTART_H

#include "libpolicy/movestate.h"
#include <optional>
#include <string>

namespace amaranthward {

/// A wanted split for one service.
struct MoveRequest {
  std::string Id;
  ServiceName Service;
  /// Adds up to Share::Whole.
  Split To;
  WallTime Deadline;
  Duration Probation = std::chrono::seconds(60);
};

/// A new move and the one that it replaces.
struct MoveStart {
  MoveState Begun;
  /// The open move, ended as Superseded, to be reported once.
  std::optional<MoveState> Superseded;

  /// Begins a move at \a Now from \a InForce. \a Last is the service's last
  /// move, if any; when it has not ended, the new move replaces it and keeps
  /// its fallback. Fails with InvalidArgument when a split does not add up to
  /// Share::Whole.
  static Result<MoveStart> create(WallTime Now, const MoveRequest &Wanted,
                                  const Split &InForce,
                                  const std::optional<MoveState> &Last);
};

} // namespace amaranthward

#endif
