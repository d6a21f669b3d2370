#include "libconfig/configurationcodec.h"
#include "libcontrol/controldata.h"

namespace amaranthward {

namespace {

std::int64_t microseconds(WallTime At) { return At.time_since_epoch().count(); }

WallTime wallTimeAt(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number_integer())
    return WallTime();
  return WallTime(Duration(Found->get<std::int64_t>()));
}

Json encode(const AcceptedSet &Set) {
  return {{"version", Set.Version.value()},
          {"digest", Set.Digest},
          {"revision", Set.AcceptedIn.value()},
          {"at", microseconds(Set.AcceptedAt)}};
}

AcceptedSet decodeAccepted(const Json &Value) {
  return {OperatorVersion(numberAt(Value, "version")), textAt(Value, "digest"),
          Revision(numberAt(Value, "revision")), wallTimeAt(Value, "at")};
}

Json encode(const ServiceState &State) {
  Json Value = Json::object();
  if (!State.InForce.empty())
    Value["in_force"] = splitToJson(State.InForce);
  if (State.Move) {
    Value["move"] = MoveState::toJson(State.Move->State);
    Value["steps"] = State.Move->ChangeCount;
    Value["changed_in"] = State.Move->ChangedIn.value();
  }
  return Value;
}

Result<ServiceState> decodeService(const Json &Value) {
  ServiceState State;
  if (Value.contains("in_force")) {
    auto InForce = splitFromJson(Value["in_force"]);
    if (!InForce)
      return tl::make_unexpected(InForce.error());
    State.InForce = *InForce;
  }
  if (Value.contains("move")) {
    auto Move = MoveState::fromJson(Value["move"]);
    if (!Move)
      return tl::make_unexpected(Move.error());
    State.Move = MoveRecord{*Move, numberAt(Value, "steps"),
                            Revision(numberAt(Value, "changed_in"))};
  }
  return State;
}

Json encode(const MoveEvent &Event) {
  return {{"seq", Event.Sequence},          {"id", Event.MoveId},
          {"service", Event.Service.str()}, {"phase", toString(Event.Phase)},
          {"reason", Event.Reason},         {"share", Event.InForce.parts()},
          {"at", microseconds(Event.At)}};
}

Result<MoveEvent> decodeEvent(const Json &Value) {
  MoveEvent Event;
  auto Phase = parseMovePhase(textAt(Value, "phase"));
  if (!Phase)
    return tl::make_unexpected(Phase.error());
  Event.Phase = *Phase;
  Event.Sequence = numberAt(Value, "seq");
  Event.MoveId = textAt(Value, "id");
  Event.Service = ServiceName(textAt(Value, "service"));
  Event.Reason = textAt(Value, "reason");
  Event.InForce = Share(static_cast<std::uint32_t>(numberAt(Value, "share")));
  Event.At = wallTimeAt(Value, "at");
  return Event;
}

Json encodeMarks(const std::map<ServiceVersion, BadMark> &Marks) {
  Json List = Json::array();
  for (const auto &[Key, Mark] : Marks) {
    List.push_back({{"service", Key.first.str()},
                    {"version", Key.second.str()},
                    {"reason", Mark.Reason},
                    {"at", microseconds(Mark.MarkedAt)}});
  }
  return List;
}

void decodeMarks(const Json &List, ControlData &Data) {
  for (const Json &Value : List) {
    ServiceVersion Key(ServiceName(textAt(Value, "service")),
                       VersionName(textAt(Value, "version")));
    Data.BadMarks[Key] = {textAt(Value, "reason"), wallTimeAt(Value, "at")};
  }
}

} // namespace

Json ControlData::toJson(const ControlData &Data) {
  Json Value = {
      {"applied", Data.Applied.value()},  {"changed", Data.Changed.value()},
      {"last_event", Data.LastEvent},     {"history", Json::array()},
      {"services", Json::object()},       {"events", Json::array()},
      {"bad", encodeMarks(Data.BadMarks)}};
  if (Data.Current)
    Value["current"] = amaranthward::toJson(*Data.Current);
  for (const ZoneName &Zone : Data.ZonesOutOfService)
    Value["zones_out"].push_back(Zone.str());
  for (const AcceptedSet &Set : Data.History)
    Value["history"].push_back(encode(Set));
  for (const auto &[Name, State] : Data.Services)
    Value["services"][Name.str()] = encode(State);
  for (const MoveEvent &Event : Data.Events)
    Value["events"].push_back(encode(Event));
  return Value;
}

Result<ControlData> ControlData::fromJson(const Json &Value) {
  if (!Value.is_object())
    return fail(ErrorCode::InvalidArgument, "control state is not an object");
  ControlData Data;
  Data.Applied = Revision(numberAt(Value, "applied"));
  Data.Changed = Revision(numberAt(Value, "changed"));
  Data.LastEvent = numberAt(Value, "last_event");
  if (Value.contains("current")) {
    auto Current = configurationFromJson(Value["current"]);
    if (!Current)
      return tl::make_unexpected(Current.error());
    Data.Current = std::move(*Current);
  }
  for (const Json &Set : Value.value("history", Json::array()))
    Data.History.push_back(decodeAccepted(Set));
  const Json Services = Value.value("services", Json::object());
  for (const auto &[Name, Encoded] : Services.items()) {
    auto State = decodeService(Encoded);
    if (!State)
      return tl::make_unexpected(State.error());
    Data.Services.emplace(ServiceName(Name), std::move(*State));
  }
  for (const Json &Encoded : Value.value("events", Json::array())) {
    auto Event = decodeEvent(Encoded);
    if (!Event)
      return tl::make_unexpected(Event.error());
    Data.Events.push_back(std::move(*Event));
  }
  for (const Json &Zone : Value.value("zones_out", Json::array()))
    if (Zone.is_string())
      Data.ZonesOutOfService.emplace(Zone.get<std::string>());
  decodeMarks(Value.value("bad", Json::array()), Data);
  return Data;
}

} // namespace amaranthward
