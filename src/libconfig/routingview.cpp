#include "libconfig/routingview.h"

#include "libconfig/jsonfields.h"
#include "libconfig/routetable.h"
#include "libconfig/speccodec.h"
#include <algorithm>
#include <set>
#include <utility>

namespace amaranthward {

struct RoutingView::Content {
  OperatorVersion Version;
  std::string Digest;
  MeshLimits Limits;
  std::map<ZoneName, ZoneSpec> Zones;
  std::map<ServiceName, ServiceSpec> Services;
  std::map<RouteName, RouteSpec> Routes;
  std::map<ServiceName, std::map<VersionName, Share>> Splits;
  std::map<ServiceName, Json> Moves;
  std::set<std::pair<ServiceName, VersionName>> Bad;
  std::set<ZoneName> ZonesOutOfService;
  RouteTable Table;
  bool HasSet = false;
  bool HasMesh = false;

  Result<void> read(const std::string &Key, const Json &Value);
  Result<void> checkClosure() const;

private:
  Result<void> readSet(const Json &Value);
  Result<void> readNamed(const std::string &Kind, const std::string &Name,
                         const Json &Value);
  Result<void> readSplit(const ServiceName &Name, const Json &Value);
  void readBad(const std::string &Name);
  Result<void> checkRoutes() const;
  Result<void> checkServices() const;
  Result<void> checkSplits() const;
};

namespace {

tl::unexpected<Error> misfit(const std::string &Key,
                             const std::string &Problem) {
  return fail(ErrorCode::InvalidArgument, "resource " + Key + ": " + Problem);
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

Result<void> RoutingView::Content::read(const std::string &Key,
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

Result<void> RoutingView::Content::readSet(const Json &Value) {
  JsonFields Fields(Value);
  this->Version = OperatorVersion(Fields.number("version"));
  this->Digest = Fields.text("digest");
  this->HasSet = true;
  if (!Fields.good())
    return Fields.failure();
  return {};
}

Result<void> RoutingView::Content::readNamed(const std::string &Kind,
                                             const std::string &Name,
                                             const Json &Value) {
  if (Kind == "zone")
    return store(this->Zones, ZoneName(Name),
                 zoneFromJson(ZoneName(Name), Value));
  if (Kind == "service")
    return store(this->Services, ServiceName(Name),
                 serviceFromJson(ServiceName(Name), Value));
  if (Kind == "route")
    return store(this->Routes, RouteName(Name),
                 routeFromJson(RouteName(Name), Value));
  if (Kind == "split")
    return this->readSplit(ServiceName(Name), Value);
  if (Kind == "move")
    this->Moves[ServiceName(Name)] = Value;
  if (Kind == "bad")
    this->readBad(Name);
  if (Kind == "zone-out")
    this->ZonesOutOfService.emplace(Name);
  return {};
}

Result<void> RoutingView::Content::readSplit(const ServiceName &Name,
                                             const Json &Value) {
  JsonFields Fields(Value);
  auto Shares = sharesFromJson(Fields.object("shares"));
  if (!Fields.good())
    return Fields.failure();
  return store(this->Splits, Name, std::move(Shares));
}

void RoutingView::Content::readBad(const std::string &Name) {
  std::size_t Slash = Name.find('/');
  if (Slash != std::string::npos)
    this->Bad.emplace(ServiceName(Name.substr(0, Slash)),
                      VersionName(Name.substr(Slash + 1)));
}

Result<void> RoutingView::Content::checkClosure() const {
  bool IsEmpty = this->Zones.empty() && this->Services.empty() &&
                 this->Routes.empty() && this->Splits.empty();
  if (!IsEmpty && !this->HasSet)
    return misfit("set", "is missing");
  if (!IsEmpty && !this->HasMesh)
    return misfit("mesh", "is missing");
  return this->checkRoutes()
      .and_then([this] { return this->checkServices(); })
      .and_then([this] { return this->checkSplits(); });
}

Result<void> RoutingView::Content::checkRoutes() const {
  for (const auto &[Name, Route] : this->Routes) {
    if (!this->Services.contains(Route.Service))
      return misfit("route/" + Name.str(),
                    "service " + Route.Service.str() + " is missing");
    for (const RoutePart &Part : Route.Parts)
      if (!this->Services.contains(Part.Service))
        return misfit("route/" + Name.str(),
                      "service " + Part.Service.str() + " is missing");
  }
  return {};
}

Result<void> RoutingView::Content::checkServices() const {
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

Result<void> RoutingView::Content::checkSplits() const {
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

RoutingView::RoutingView(std::shared_ptr<const Content> Shared)
    : Shared(std::move(Shared)) {}

Result<RoutingView> RoutingView::create(const ResourceMap &Resources) {
  auto Built = std::make_shared<Content>();
  for (const auto &[Key, Value] : Resources) {
    if (auto Done = Built->read(Key, Value); !Done)
      return tl::make_unexpected(Done.error());
  }
  if (auto Done = Built->checkClosure(); !Done)
    return tl::make_unexpected(Done.error());
  for (const auto &[Name, Route] : Built->Routes)
    Built->Table.add(Route);
  for (const auto &[Name, Zone] : Built->Zones)
    if (!Zone.InService)
      Built->ZonesOutOfService.insert(Name);
  return RoutingView(std::move(Built));
}

const RouteSpec *RoutingView::matchRoute(std::string_view Method,
                                         std::string_view Path,
                                         std::string_view Host) const {
  return this->Shared->Table.match(Method, Host, Path);
}

const RouteSpec *RoutingView::route(const RouteName &Name) const {
  auto Found = this->Shared->Routes.find(Name);
  return Found == this->Shared->Routes.end() ? nullptr : &Found->second;
}

const ServiceSpec *RoutingView::service(const ServiceName &Name) const {
  auto Found = this->Shared->Services.find(Name);
  return Found == this->Shared->Services.end() ? nullptr : &Found->second;
}

bool RoutingView::hasAnnouncedVersions(const ServiceName &Name) const {
  const ServiceSpec *Spec = this->service(Name);
  return Spec && Spec->Versions.empty();
}

bool RoutingView::hasUrgentRoute(const ServiceName &Name) const {
  const auto &Routes = this->Shared->Routes;
  return std::any_of(Routes.begin(), Routes.end(), [&Name](const auto &Each) {
    return Each.second.Class == CallClass::Urgent && Each.second.serves(Name);
  });
}

const std::map<VersionName, Share> &
RoutingView::split(const ServiceName &Name) const {
  static const std::map<VersionName, Share> None;
  auto Found = this->Shared->Splits.find(Name);
  return Found == this->Shared->Splits.end() ? None : Found->second;
}

bool RoutingView::zoneInService(const ZoneName &Name) const {
  bool Named =
      this->Shared->Zones.empty() || this->Shared->Zones.contains(Name);
  return Named && !this->Shared->ZonesOutOfService.contains(Name);
}

const std::set<ZoneName> &RoutingView::zonesOutOfService() const {
  return this->Shared->ZonesOutOfService;
}

bool RoutingView::isBad(const ServiceName &Service,
                        const VersionName &Version) const {
  return this->Shared->Bad.contains({Service, Version});
}

const Json *RoutingView::openMove(const ServiceName &Name) const {
  auto Found = this->Shared->Moves.find(Name);
  return Found == this->Shared->Moves.end() ? nullptr : &Found->second;
}

const MeshLimits &RoutingView::limits() const { return this->Shared->Limits; }

OperatorVersion RoutingView::version() const { return this->Shared->Version; }

const std::string &RoutingView::digest() const { return this->Shared->Digest; }

const std::map<ServiceName, ServiceSpec> &RoutingView::services() const {
  return this->Shared->Services;
}

const std::map<RouteName, RouteSpec> &RoutingView::routes() const {
  return this->Shared->Routes;
}

const std::map<ZoneName, ZoneSpec> &RoutingView::zones() const {
  return this->Shared->Zones;
}

} // namespace amaranthward
