#include "libcontrol/recordmove.h"

namespace amaranthward {

namespace {

ServiceState *findMove(ControlData &Data, const ServiceName &Service,
                       const std::string &MoveId) {
  auto Found = Data.Services.find(Service);
  if (Found == Data.Services.end() || !Found->second.Move)
    return nullptr;
  return Found->second.Move->State.Id == MoveId ? &Found->second : nullptr;
}

std::string describeFault(const MoveState &Move) {
  std::string Text = toString(Move.Reason);
  if (!Move.Evidence.BadRoute.empty())
    Text += " on route " + Move.Evidence.BadRoute.str();
  return Text;
}

} // namespace

Result<RecordMove> RecordMove::create(const MoveDecision &Decision,
                                      std::uint64_t ExpectedChangeCount,
                                      WallTime At) {
  if (Decision.Action == MoveAction::Keep)
    return fail(ErrorCode::InvalidArgument,
                "a decision to keep the move unchanged cannot be recorded");
  return RecordMove(Decision.Next, Decision.MarkBad, ExpectedChangeCount, At);
}

Result<RecordMove> RecordMove::fromJson(const Json &Value) {
  auto Next = MoveState::fromJson(Value.value("next", Json()));
  if (!Next)
    return tl::make_unexpected(Next.error());
  WallTime At(Duration(static_cast<std::int64_t>(numberAt(Value, "at"))));
  return RecordMove(std::move(*Next), boolAt(Value, "mark_bad"),
                    numberAt(Value, "based_on"), At);
}

Json RecordMove::toJson() const {
  return {{"kind", Kind},
          {"next", MoveState::toJson(this->Next)},
          {"mark_bad", this->MarkBad},
          {"based_on", this->ExpectedChangeCount},
          {"at", this->At.time_since_epoch().count()}};
}

bool RecordMove::execute(ControlData &Data, Revision AtRevision) const {
  ServiceState *State = findMove(Data, this->Next.Service, this->Next.Id);
  if (!State || State->Move->ChangeCount != this->ExpectedChangeCount)
    return false;
  MovePhase Before = State->Move->State.Phase;
  bool IsReverted = this->Next.Reverted && !State->Move->State.Reverted;
  State->Move =
      MoveRecord{this->Next, this->ExpectedChangeCount + 1, AtRevision};
  State->InForce = withoutZeroShares(this->Next.InForce);
  if (this->MarkBad) {
    ServiceVersion Key(this->Next.Service, this->Next.Candidate);
    Data.BadMarks[Key] = {describeFault(this->Next), this->At};
  }
  if (this->Next.ended() && Data.hasAnnouncedVersions(this->Next.Service))
    this->finishAnnouncedMove(Data, *State);
  if (Before != this->Next.Phase || IsReverted)
    Data.addEvent(this->Next, this->At);
  Data.Changed = AtRevision;
  return true;
}

// Clears the split and marks the rejected version as bad. When the set lists no
// versions, a remaining split would exclude versions that upstreams announce
// later.
void RecordMove::finishAnnouncedMove(ControlData &Data,
                                     ServiceState &State) const {
  bool IsDone = this->Next.Phase == MovePhase::Done;
  const VersionName &Rejected =
      IsDone ? this->Next.Baseline : this->Next.Candidate;
  ServiceVersion Key(this->Next.Service, Rejected);
  if (!Rejected.empty() && !Data.BadMarks.contains(Key))
    Data.BadMarks[Key] = {toString(this->Next.Reason), this->At};
  State.InForce.clear();
}

Result<CloseMove> CloseMove::create(ServiceName Service, std::string MoveId) {
  return CloseMove(std::move(Service), std::move(MoveId));
}

Result<CloseMove> CloseMove::fromJson(const Json &Value) {
  return CloseMove(ServiceName(textAt(Value, "service")),
                   textAt(Value, "move"));
}

Json CloseMove::toJson() const {
  return {
      {"kind", Kind}, {"service", this->Service.str()}, {"move", this->MoveId}};
}

bool CloseMove::execute(ControlData &Data, Revision At) const {
  ServiceState *State = findMove(Data, this->Service, this->MoveId);
  if (!State || !State->Move->State.ended())
    return false;
  State->Move.reset();
  Data.Changed = At;
  return true;
}

} // namespace amaranthward
