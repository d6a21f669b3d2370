#include "libconfig/speccodec.h"

#include "libconfig/jsonfields.h"
#include <algorithm>

namespace amaranthward {

namespace {

template <typename Id> Json sortedNames(const std::vector<Id> &Names) {
  std::vector<std::string> Sorted;
  Sorted.reserve(Names.size());
  for (const Id &Name : Names)
    Sorted.push_back(Name.str());
  std::sort(Sorted.begin(), Sorted.end());
  return Json(Sorted);
}

template <typename Id>
std::vector<Id> idsOf(const std::vector<std::string> &Texts) {
  return std::vector<Id>(Texts.begin(), Texts.end());
}

// Unsigned, because readers of JSON in this project expect that type.
std::uint64_t microseconds(Duration Value) {
  return static_cast<std::uint64_t>(Value.count());
}

/// Leaves \a Target as it is when the field is absent.
template <typename Value, typename Field>
void readIfPresent(JsonFields &Fields, const char *Key,
                   Value (JsonFields::*Read)(const char *), Field &Target) {
  if (Fields.has(Key))
    Target = (Fields.*Read)(Key);
}

} // namespace

Json toJson(const ZoneSpec &Zone) {
  return {{"region", Zone.Region.str()}, {"in_service", Zone.InService}};
}

Result<ZoneSpec> zoneFromJson(const ZoneName &Name, const Json &Value) {
  JsonFields Fields(Value);
  ZoneSpec Zone;
  Zone.Name = Name;
  Zone.Region = RegionName(Fields.text("region"));
  Zone.InService = Fields.boolean("in_service");
  if (!Fields.good())
    return Fields.failure();
  return Zone;
}

Json toJson(const ServiceSpec &Service) {
  Json Value = {{"versions", sortedNames(Service.Versions)},
                {"depends_on", sortedNames(Service.DependsOn)},
                {"limits",
                 {{"slots", Service.Limits.Slots},
                  {"connections", Service.Limits.Connections},
                  {"queue", Service.Limits.Queue},
                  {"warm_up_us", microseconds(Service.Limits.WarmUp)}}}};
  if (Service.Limits.ColdCallsPerSecond > 0)
    Value["limits"]["cold_calls_per_second"] =
        Service.Limits.ColdCallsPerSecond;
  return Value;
}

Result<ServiceSpec> serviceFromJson(const ServiceName &Name,
                                    const Json &Value) {
  JsonFields Fields(Value);
  ServiceSpec Service;
  Service.Name = Name;
  Service.Versions = idsOf<VersionName>(Fields.texts("versions"));
  Service.DependsOn = idsOf<ServiceName>(Fields.texts("depends_on"));
  JsonFields Limits(Fields.object("limits"));
  Service.Limits.Slots = Limits.number32("slots");
  Service.Limits.Connections = Limits.number32("connections");
  Service.Limits.Queue = Limits.number32("queue");
  Service.Limits.WarmUp = Limits.duration("warm_up_us");
  readIfPresent(Limits, "cold_calls_per_second", &JsonFields::decimal,
                Service.Limits.ColdCallsPerSecond);
  if (!Fields.good())
    return Fields.failure();
  if (!Limits.good())
    return Limits.failure();
  return Service;
}

// Fields that have their default are left out, so that the digest of a set
// does not change when a release adds a field.
Json toJson(const RouteSpec &Route) {
  Json Value = {{"method", Route.Method},
                {"path_prefix", Route.PathPrefix},
                {"service", Route.Service.str()},
                {"class", toString(Route.Class)},
                {"idempotent", Route.Idempotent},
                {"timeout_us", microseconds(Route.Timeout)}};
  if (!Route.Host.empty())
    Value["host"] = Route.Host;
  if (Route.Objective > Duration::zero())
    Value["objective_us"] = microseconds(Route.Objective);
  if (Route.Attempts > 0)
    Value["attempts"] = Route.Attempts;
  if (Route.Priority > 0)
    Value["priority"] = Route.Priority;
  for (const RoutePart &Part : Route.Parts)
    Value["parts"].push_back(
        {{"service", Part.Service.str()}, {"weight", Part.Weight}});
  return Value;
}

namespace {

Result<std::vector<RoutePart>> partsFromJson(const Json &List) {
  std::vector<RoutePart> Parts;
  for (const Json &Item : List) {
    JsonFields Fields(Item);
    Parts.push_back(
        {ServiceName(Fields.text("service")), Fields.decimal("weight")});
    if (!Fields.good())
      return Fields.failure();
  }
  return Parts;
}

} // namespace

Result<RouteSpec> routeFromJson(const RouteName &Name, const Json &Value) {
  JsonFields Fields(Value);
  RouteSpec Route;
  Route.Name = Name;
  Route.Method = Fields.text("method");
  Route.PathPrefix = Fields.text("path_prefix");
  Route.Service = ServiceName(Fields.text("service"));
  auto Class = callClassOf(Fields.text("class"));
  Route.Class = Class.value_or(CallClass::Interactive);
  Route.Idempotent = Fields.boolean("idempotent");
  Route.Timeout = Fields.duration("timeout_us");
  readIfPresent(Fields, "host", &JsonFields::text, Route.Host);
  readIfPresent(Fields, "objective_us", &JsonFields::duration, Route.Objective);
  readIfPresent(Fields, "attempts", &JsonFields::number32, Route.Attempts);
  readIfPresent(Fields, "priority", &JsonFields::number32, Route.Priority);
  if (Fields.has("parts")) {
    auto Parts = partsFromJson(Fields.array("parts"));
    if (!Parts)
      return tl::make_unexpected(Parts.error());
    Route.Parts = std::move(*Parts);
  }
  if (!Fields.good())
    return Fields.failure();
  if (!Class || !Route.PathPrefix.starts_with('/'))
    return fail(ErrorCode::InvalidArgument, "class or path_prefix is invalid");
  return Route;
}

Json toJson(const MeshLimits &Limits) {
  Json Value = {
      {"retry_budget", Limits.RetryBudget.parts()},
      {"idempotency_retention_us", microseconds(Limits.IdempotencyRetention)}};
  if (Limits.MaxHeaderBytes)
    Value["max_header_bytes"] = std::uint64_t(*Limits.MaxHeaderBytes);
  if (Limits.MaxBodyBytes)
    Value["max_body_bytes"] = *Limits.MaxBodyBytes;
  if (Limits.HeaderTimeout)
    Value["header_timeout_us"] = microseconds(*Limits.HeaderTimeout);
  if (Limits.IdleTimeout)
    Value["idle_timeout_us"] = microseconds(*Limits.IdleTimeout);
  return Value;
}

Result<MeshLimits> meshLimitsFromJson(const Json &Value) {
  JsonFields Fields(Value);
  MeshLimits Limits;
  Limits.RetryBudget = Fields.share("retry_budget");
  Limits.IdempotencyRetention = Fields.duration("idempotency_retention_us");
  readIfPresent(Fields, "max_header_bytes", &JsonFields::number,
                Limits.MaxHeaderBytes);
  readIfPresent(Fields, "max_body_bytes", &JsonFields::number,
                Limits.MaxBodyBytes);
  readIfPresent(Fields, "header_timeout_us", &JsonFields::duration,
                Limits.HeaderTimeout);
  readIfPresent(Fields, "idle_timeout_us", &JsonFields::duration,
                Limits.IdleTimeout);
  if (!Fields.good())
    return Fields.failure();
  return Limits;
}

Json toJson(const std::map<VersionName, Share> &Split) {
  Json Value = Json::object();
  for (const auto &[Version, Part] : Split)
    Value[Version.str()] = Part.parts();
  return Value;
}

Result<std::map<VersionName, Share>> sharesFromJson(const Json &Value) {
  JsonFields Fields(Value);
  std::map<VersionName, Share> Split;
  if (Value.is_object()) {
    for (const auto &[Version, Part] : Value.items())
      Split[VersionName(Version)] = Fields.share(Version.c_str());
  }
  if (!Fields.good())
    return Fields.failure();
  return Split;
}

Json toJson(const MoveSpec &Move) {
  Json Value = {{"probation_us", microseconds(Move.Probation)}};
  if (Move.FinishBy)
    Value["finish_by_us"] = microseconds(Move.FinishBy->time_since_epoch());
  if (Move.FinishWithin)
    Value["finish_within_us"] = microseconds(*Move.FinishWithin);
  return Value;
}

Result<MoveSpec> moveFromJson(const Json &Value) {
  JsonFields Fields(Value);
  MoveSpec Move;
  Move.Probation = Fields.duration("probation_us");
  if (Fields.has("finish_by_us"))
    Move.FinishBy = WallTime(Fields.duration("finish_by_us"));
  if (Fields.has("finish_within_us"))
    Move.FinishWithin = Fields.duration("finish_within_us");
  if (!Fields.good())
    return Fields.failure();
  if (Move.FinishBy.has_value() == Move.FinishWithin.has_value())
    return fail(ErrorCode::InvalidArgument,
                "a move must have exactly one deadline");
  return Move;
}

} // namespace amaranthward
