#ifndef AMARANTHWARD_LIBCONTROL_RECORDMOVE_H
#define AMARANTHWARD_LIBCONTROL_RECORDMOVE_H

#include "libcontrol/controldata.h"
#include "libpolicy/movepacer.h"

namespace amaranthward {

/// Command that records one decision on a move: a change of its split, its end,
/// or a rollback after its end.
class RecordMove {
public:
  static constexpr const char *Kind = "move";

  /// \param ExpectedChangeCount MoveRecord::ChangeCount when the decision was
  /// made. Fails with InvalidArgument when the decision is Keep.
  static Result<RecordMove> create(const MoveDecision &Decision,
                                   std::uint64_t ExpectedChangeCount,
                                   WallTime At);
  static Result<RecordMove> fromJson(const Json &Value);
  Json toJson() const;

  /// Applies the decision. Returns false, without a change, when the move no
  /// longer exists or another record has changed it since the decision.
  bool execute(ControlData &Data, Revision At) const;

private:
  void finishAnnouncedMove(ControlData &Data, ServiceState &State) const;

  RecordMove(MoveState Next, bool MarkBad, std::uint64_t ExpectedChangeCount,
             WallTime At)
      : Next(std::move(Next)), MarkBad(MarkBad),
        ExpectedChangeCount(ExpectedChangeCount), At(At) {}

  MoveState Next;
  bool MarkBad;
  std::uint64_t ExpectedChangeCount;
  WallTime At;
};

/// Command that removes a finished move once its candidate need not be
/// monitored any longer.
class CloseMove {
public:
  static constexpr const char *Kind = "close";

  static Result<CloseMove> create(ServiceName Service, std::string MoveId);
  static Result<CloseMove> fromJson(const Json &Value);
  Json toJson() const;

  /// Returns false, without a change, when the move is unknown or still open.
  bool execute(ControlData &Data, Revision At) const;

private:
  CloseMove(ServiceName Service, std::string MoveId)
      : Service(std::move(Service)), MoveId(std::move(MoveId)) {}

  ServiceName Service;
  std::string MoveId;
};

} // namespace amaranthward

#endif
