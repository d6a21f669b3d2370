#include "libconfig/configurationcodec.h"

#include "libconfig/jsonfields.h"
#include "libconfig/speccodec.h"
#include "libcore/hashing.h"
#include <algorithm>
#include <functional>

namespace amaranthward {

namespace {

// The specs as a JSON array of objects with their names, sorted by name.
template <typename Spec>
Json namedList(const std::vector<Spec> &All,
               const std::function<Json(const Spec &)> &ToJson) {
  std::map<std::string, Json> ByName;
  for (const Spec &One : All) {
    Json Value = ToJson(One);
    Value["name"] = One.Name.str();
    ByName[One.Name.str()] = std::move(Value);
  }
  Json List = Json::array();
  for (auto &[Name, Value] : ByName)
    List.push_back(std::move(Value));
  return List;
}

Json wholeServiceToJson(const ServiceSpec &Service) {
  Json Value = toJson(Service);
  Value["split"] = toJson(Service.Split);
  if (Service.Move)
    Value["move"] = toJson(*Service.Move);
  return Value;
}

Result<ServiceSpec> wholeServiceFromJson(const ServiceName &Name,
                                         const Json &Value) {
  auto Service = serviceFromJson(Name, Value);
  if (!Service)
    return Service;
  JsonFields Fields(Value);
  auto Split = sharesFromJson(Fields.object("split"));
  if (!Fields.good())
    return Fields.failure();
  if (!Split)
    return tl::make_unexpected(Split.error());
  Service->Split = *Split;
  if (Fields.has("move")) {
    auto Move = moveFromJson(Fields.object("move"));
    if (!Move)
      return tl::make_unexpected(Move.error());
    Service->Move = *Move;
  }
  return Service;
}

template <typename Spec, typename Id>
Result<std::vector<Spec>> readList(
    const Json &List,
    const std::function<Result<Spec>(const Id &, const Json &)> &FromJson) {
  std::vector<Spec> All;
  for (const Json &Item : List) {
    JsonFields Fields(Item);
    Id Name(Fields.text("name"));
    if (!Fields.good())
      return Fields.failure();
    auto One = FromJson(Name, Item);
    if (!One)
      return fail(ErrorCode::InvalidArgument,
                  '"' + Name.str() + "\": " + One.error().Message);
    All.push_back(std::move(*One));
  }
  return All;
}

} // namespace

Json toJson(const ConfigurationSet &Set) {
  Json Value = {
      {"version", Set.Version.value()},
      {"zones", namedList<ZoneSpec>(
                    Set.Zones, [](const auto &One) { return toJson(One); })},
      {"services", namedList<ServiceSpec>(Set.Services, wholeServiceToJson)},
      {"routes", namedList<RouteSpec>(
                     Set.Routes, [](const auto &One) { return toJson(One); })},
      {"limits", toJson(Set.Limits)}};
  if (Set.Base)
    Value["base"] = Set.Base->value();
  if (!Set.Source.empty())
    Value["source"] = Set.Source;
  return Value;
}

Result<ConfigurationSet> configurationFromJson(const Json &Value) {
  JsonFields Fields(Value);
  ConfigurationSet Set;
  Set.Version = OperatorVersion(Fields.number("version"));
  if (Fields.has("base"))
    Set.Base = OperatorVersion(Fields.number("base"));
  if (Fields.has("source"))
    Set.Source = Fields.text("source");
  auto Zones =
      readList<ZoneSpec, ZoneName>(Fields.array("zones"), zoneFromJson);
  auto Services = readList<ServiceSpec, ServiceName>(Fields.array("services"),
                                                     wholeServiceFromJson);
  auto Routes =
      readList<RouteSpec, RouteName>(Fields.array("routes"), routeFromJson);
  auto Limits = meshLimitsFromJson(Fields.object("limits"));
  if (!Fields.good())
    return Fields.failure();
  if (!Zones)
    return tl::make_unexpected(Zones.error());
  if (!Services)
    return tl::make_unexpected(Services.error());
  if (!Routes)
    return tl::make_unexpected(Routes.error());
  if (!Limits)
    return tl::make_unexpected(Limits.error());
  Set.Zones = std::move(*Zones);
  Set.Services = std::move(*Services);
  Set.Routes = std::move(*Routes);
  Set.Limits = *Limits;
  return Set;
}

std::string digestOf(const ConfigurationSet &Set) {
  return Set.Source.empty() ? formerDigestOf(Set) : sha256Hex(Set.Source);
}

std::string formerDigestOf(const ConfigurationSet &Set) {
  Json Value = toJson(Set);
  Value.erase("source");
  return sha256Hex(dumpJson(Value));
}

} // namespace amaranthward
