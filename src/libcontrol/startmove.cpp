#include "libcontrol/startmove.h"

#include "libpolicy/movestart.h"

namespace amaranthward {

Result<StartMove> StartMove::create(OperatorMoveRequest Order,
                                    VersionName Baseline, WallTime At) {
  if (Order.Service.empty() || Order.Target.empty() || Baseline.empty())
    return fail(ErrorCode::InvalidArgument,
                "service, target version and baseline are required");
  if (Order.Target == Baseline)
    return fail(ErrorCode::InvalidArgument,
                "the target version is already the baseline");
  if (Order.Within <= Duration::zero())
    return fail(ErrorCode::InvalidArgument,
                "the time within which the move must end is not positive");
  return StartMove(std::move(Order), std::move(Baseline), At);
}

Result<StartMove> StartMove::fromJson(const Json &Value) {
  OperatorMoveRequest Order{
      ServiceName(textAt(Value, "service")),
      VersionName(textAt(Value, "target")),
      Duration(static_cast<std::int64_t>(numberAt(Value, "within_us")))};
  WallTime At(Duration(static_cast<std::int64_t>(numberAt(Value, "at"))));
  return create(std::move(Order), VersionName(textAt(Value, "baseline")), At);
}

Json StartMove::toJson() const {
  return {{"kind", Kind},
          {"service", this->Order.Service.str()},
          {"target", this->Order.Target.str()},
          {"baseline", this->Baseline.str()},
          {"within_us", static_cast<std::uint64_t>(this->Order.Within.count())},
          {"at", this->At.time_since_epoch().count()}};
}

bool StartMove::isNewestTarget(const ControlData &Data,
                               const OperatorMoveRequest &Order) {
  auto Found = Data.Services.find(Order.Service);
  return Found != Data.Services.end() && Found->second.Move &&
         Found->second.Move->State.To == Split{{Order.Target, Share::all()}};
}

void StartMove::execute(ControlData &Data, Revision AtRevision) const {
  auto Found = Data.Services.find(this->Order.Service);
  if (Found == Data.Services.end() || isNewestTarget(Data, this->Order))
    return;
  ServiceState &State = Found->second;
  MoveRequest Request;
  Request.Id =
      this->Order.Service.str() + '-' + std::to_string(AtRevision.value());
  Request.Service = this->Order.Service;
  Request.To = {{this->Order.Target, Share::all()}};
  Request.Deadline = this->At + this->Order.Within;
  Request.Probation = this->Order.Within / ProbationDivisor;
  if (State.InForce.empty())
    State.InForce = {{this->Baseline, Share::all()}};
  std::optional<MoveState> Last;
  if (State.Move)
    Last = State.Move->State;
  auto Start = MoveStart::create(this->At, Request, State.InForce, Last);
  if (!Start)
    return;
  Data.BadMarks.erase({this->Order.Service, this->Order.Target});
  if (Start->Superseded)
    Data.addEvent(*Start->Superseded, this->At);
  Data.addEvent(Start->Begun, this->At);
  State.Move = MoveRecord{std::move(Start->Begun), 0, AtRevision};
  Data.Changed = AtRevision;
}

} // namespace amaranthward
