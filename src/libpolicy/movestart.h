#ifndef AMARANTHWARD_LIBPOLICY_MOVESTART_H
#define AMARANTHWARD_LIBPOLICY_MOVESTART_H

#include "libpolicy/movestate.h"
#include <optional>
#include <string>

namespace amaranthward {

/// A request to change the split of one service.
struct MoveRequest {
  std::string Id;
  ServiceName Service;
  /// Target split; the shares must add up to Share::Whole.
  Split To;
  WallTime Deadline;
  /// Time for which the target split must hold before the move is done, and for
  /// which the candidate is observed afterwards.
  Duration Probation = std::chrono::seconds(60);
};

/// A new move and the open move that it replaces, if any.
struct MoveStart {
  MoveState Begun;
  /// The replaced move, ended as Superseded; the caller reports its end.
  std::optional<MoveState> Superseded;

  /// Starts a move at \a Now from the split \a InForce. \a Last is the most
  /// recent move of the service, if any. If it is still open, the new move
  /// replaces it and keeps its fallback split. Fails with InvalidArgument when
  /// a split does not add up to Share::Whole.
  static Result<MoveStart> create(WallTime Now, const MoveRequest &Request,
                                  const Split &InForce,
                                  const std::optional<MoveState> &Last);
};

} // namespace amaranthward

#endif
