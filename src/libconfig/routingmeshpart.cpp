#include "libconfig/routingmeshpart.h"

#include "libconfig/jsonfields.h"
#include "libconfig/speccodec.h"
#include <algorithm>
#include <utility>

namespace amaranthward {

namespace {

/// Reads "service/version"; without a slash both parts are empty.
std::pair<ServiceName, VersionName> serviceVersionIn(const std::string &Name) {
  std::size_t Slash = Name.find('/');
  if (Slash == std::string::npos)
    return {};
  return {ServiceName(Name.substr(0, Slash)),
          VersionName(Name.substr(Slash + 1))};
}

// Stores a parsed value, or fails with the key in the message.
template <typename Map, typename Name, typename Value>
Result<void> store(Map &Target, const Name &Key, Result<Value> Parsed) {
  if (!Parsed)
    return tl::make_unexpected(Parsed.error());
  Target[Key] = std::move(*Parsed);
  return {};
}

} // namespace

tl::unexpected<Error> misfit(const std::string &Key,
                             const std::string &Problem) {
  return fail(ErrorCode::InvalidArgument, "resource " + Key + ": " + Problem);
}

Result<void> RoutingView::MeshPart::read(const std::string &Key,
                                         const Json &Value) {
  std::size_t Slash = Key.find('/');
  Result<void> Done;
  if (Key == "set") {
    Done = this->readSet(Value);
  } else if (Key == "mesh") {
    auto Parsed = meshLimitsFromJson(Value);
    if (!Parsed)
      return misfit(Key, Parsed.error().Message);
    this->Limits = *Parsed;
    this->HasMesh = true;
  } else if (Slash != std::string::npos) {
    Done = this->readNamed(Key.substr(0, Slash), Key.substr(Slash + 1), Value);
  }
  if (!Done)
    return misfit(Key, Done.error().Message);
  return {};
}

Result<void> RoutingView::MeshPart::readSet(const Json &Value) {
  JsonFields Fields(Value);
  this->Version = OperatorVersion(Fields.number("version"));
  this->Digest = Fields.text("digest");
  this->HasSet = true;
  if (!Fields.good())
    return Fields.failure();
  return {};
}

Result<void> RoutingView::MeshPart::readNamed(const std::string &Kind,
                                              const std::string &Name,
                                              const Json &Value) {
  if (Kind == "zone")
    return store(this->Zones, ZoneName(Name),
                 zoneFromJson(ZoneName(Name), Value));
  if (Kind == "service")
    return store(this->Services, ServiceName(Name),
                 serviceFromJson(ServiceName(Name), Value));
  if (Kind == "split")
    return this->readSplit(ServiceName(Name), Value);
  if (Kind == "move")
    this->Moves[ServiceName(Name)] = Value;
  if (Kind == "bad")
    this->Bad.insert(serviceVersionIn(Name));
  if (Kind == "zone-out")
    this->ZonesOrderedOut.emplace(Name);
  return {};
}

void RoutingView::MeshPart::erase(const std::string &Key) {
  std::size_t Slash = Key.find('/');
  if (Key == "set") {
    this->HasSet = false;
  } else if (Key == "mesh") {
    this->HasMesh = false;
  } else if (Slash != std::string::npos) {
    std::string Kind = Key.substr(0, Slash);
    std::string Name = Key.substr(Slash + 1);
    if (Kind == "zone")
      this->Zones.erase(ZoneName(Name));
    if (Kind == "service")
      this->Services.erase(ServiceName(Name));
    if (Kind == "split")
      this->Splits.erase(ServiceName(Name));
    if (Kind == "move")
      this->Moves.erase(ServiceName(Name));
    if (Kind == "bad")
      this->Bad.erase(serviceVersionIn(Name));
    if (Kind == "zone-out")
      this->ZonesOrderedOut.erase(ZoneName(Name));
  }
}

void RoutingView::MeshPart::findZonesOutOfService() {
  this->ZonesOutOfService = this->ZonesOrderedOut;
  for (const auto &[Name, Zone] : this->Zones)
    if (!Zone.InService)
      this->ZonesOutOfService.insert(Name);
}

Result<void> RoutingView::MeshPart::readSplit(const ServiceName &Name,
                                              const Json &Value) {
  JsonFields Fields(Value);
  auto Shares = sharesFromJson(Fields.object("shares"));
  if (!Fields.good())
    return Fields.failure();
  return store(this->Splits, Name, std::move(Shares));
}

Result<void> RoutingView::MeshPart::checkClosure(bool HasRoutes) const {
  bool IsEmpty = this->Zones.empty() && this->Services.empty() && !HasRoutes &&
                 this->Splits.empty();
  if (!IsEmpty && !this->HasSet)
    return misfit("set", "is missing");
  if (!IsEmpty && !this->HasMesh)
    return misfit("mesh", "is missing");
  return this->checkServices().and_then([this] { return this->checkSplits(); });
}

Result<void> RoutingView::MeshPart::checkRoute(const RouteName &Name,
                                               const RouteSpec &Route) const {
  auto Check = [this, &Name](const ServiceName &Service) -> Result<void> {
    if (this->Services.contains(Service))
      return {};
    return misfit("route/" + Name.str(),
                  "service " + Service.str() + " is missing");
  };
  if (auto Done = Check(Route.Service); !Done)
    return Done;
  for (const RoutePart &Part : Route.Parts)
    if (auto Done = Check(Part.Service); !Done)
      return Done;
  return {};
}

Result<void> RoutingView::MeshPart::checkServices() const {
  for (const auto &[Name, Service] : this->Services) {
    for (const ServiceName &Dependency : Service.DependsOn) {
      if (!this->Services.contains(Dependency))
        return misfit("service/" + Name.str(),
                      "dependency " + Dependency.str() + " is missing");
    }
    if (!Service.Versions.empty() && !this->Splits.contains(Name))
      return misfit("service/" + Name.str(),
                    "split/" + Name.str() + " is missing");
  }
  return {};
}

Result<void> RoutingView::MeshPart::checkSplits() const {
  for (const auto &[Name, Shares] : this->Splits) {
    std::string Key = "split/" + Name.str();
    auto Service = this->Services.find(Name);
    if (Service == this->Services.end())
      return misfit(Key, "service " + Name.str() + " is missing");
    std::set<VersionName> Known(Service->second.Versions.begin(),
                                Service->second.Versions.end());
    std::uint64_t Sum = 0;
    for (const auto &[Version, Part] : Shares) {
      if (!Known.empty() && !Known.contains(Version))
        return misfit(Key, "version " + Version.str() + " is missing");
      Sum += Part.parts();
    }
    if (Sum != Share::Whole)
      return misfit(Key, "shares add up to " + std::to_string(Sum) +
                             " instead of " + std::to_string(Share::Whole));
  }
  return {};
}

} // namespace amaranthward
