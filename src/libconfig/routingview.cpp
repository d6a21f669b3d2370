#include "libconfig/routingview.h"

#include "libconfig/jsonfields.h"
#include "libconfig/routetable.h"
#include "libconfig/speccodec.h"
#include <algorithm>
#include <set>
#include <utility>

namespace amaranthward {

/// All resources except the routes.
struct RoutingView::MeshPart {
  OperatorVersion Version;
  std::string Digest;
  MeshLimits Limits;
  std::map<ZoneName, ZoneSpec> Zones;
  std::map<ServiceName, ServiceSpec> Services;
  std::map<ServiceName, std::map<VersionName, Share>> Splits;
  std::map<ServiceName, Json> Moves;
  std::set<std::pair<ServiceName, VersionName>> Bad;
  /// Zones that an order took out of service.
  std::set<ZoneName> ZonesOrderedOut;
  /// The same and those that the set takes out.
  std::set<ZoneName> ZonesOutOfService;
  bool HasSet = false;
  bool HasMesh = false;

  Result<void> read(const std::string &Key, const Json &Value);
  void erase(const std::string &Key);
  void findZonesOutOfService();
  /// Checks the services of one route.
  Result<void> checkRoute(const RouteName &Name, const RouteSpec &Route) const;
  Result<void> checkClosure(bool HasRoutes) const;

private:
  Result<void> readSet(const Json &Value);
  Result<void> readNamed(const std::string &Kind, const std::string &Name,
                         const Json &Value);
  Result<void> readSplit(const ServiceName &Name, const Json &Value);
  Result<void> checkServices() const;
  Result<void> checkSplits() const;
};

struct RoutingView::Content {
  MeshPart Mesh;
  std::map<RouteName, RouteSpec> Routes;
  RouteTable Table;

  std::shared_ptr<Content> copy() const;
  void setRoute(const RouteName &Name, std::optional<RouteSpec> Value);
};

namespace {

tl::unexpected<Error> misfit(const std::string &Key,
                             const std::string &Problem) {
  return fail(ErrorCode::InvalidArgument, "resource " + Key + ": " + Problem);
}

constexpr std::string_view RoutePrefix = "route/";

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

std::shared_ptr<RoutingView::Content> RoutingView::Content::copy() const {
  auto Copy = std::make_shared<Content>();
  Copy->Mesh = this->Mesh;
  Copy->Routes = this->Routes;
  for (const auto &[Name, Route] : Copy->Routes)
    Copy->Table.add(Route);
  return Copy;
}

void RoutingView::Content::setRoute(const RouteName &Name,
                                    std::optional<RouteSpec> Value) {
  if (auto Old = this->Routes.find(Name); Old != this->Routes.end()) {
    this->Table.remove(Old->second);
    this->Routes.erase(Old);
  }
  if (Value)
    this->Table.add(
        this->Routes.emplace(Name, std::move(*Value)).first->second);
}

RoutingView::RoutingView(std::shared_ptr<Content> Shared)
    : Shared(std::move(Shared)) {}

Result<RoutingView> RoutingView::create(const ResourceMap &Resources) {
  RoutingView Built(std::make_shared<Content>());
  std::vector<ResourceUpdate> All;
  All.reserve(Resources.size());
  for (const auto &[Key, Value] : Resources)
    All.push_back({Key, &Value});
  auto Prepared = Built.prepare(All);
  if (!Prepared)
    return tl::make_unexpected(Prepared.error());
  Built.commit(std::move(*Prepared));
  return Built;
}

Result<RoutingView::Update>
RoutingView::prepare(const std::vector<ResourceUpdate> &Changes) const {
  Update Next;
  Next.Mesh = std::make_shared<MeshPart>(this->Shared->Mesh);
  std::size_t RoutesLeft = this->Shared->Routes.size();
  for (const ResourceUpdate &Change : Changes) {
    std::string Key(Change.Key);
    if (Key.starts_with(RoutePrefix)) {
      RouteName Name(Key.substr(RoutePrefix.size()));
      std::optional<RouteSpec> &Value = Next.Routes[Name];
      if (this->Shared->Routes.contains(Name))
        --RoutesLeft;
      if (!Change.Value)
        continue;
      auto Parsed = routeFromJson(Name, *Change.Value);
      if (!Parsed)
        return misfit(Key, Parsed.error().Message);
      Value = std::move(*Parsed);
      ++RoutesLeft;
    } else if (!Change.Value) {
      Next.Mesh->erase(Key);
    } else if (auto Done = Next.Mesh->read(Key, *Change.Value); !Done) {
      return tl::make_unexpected(Done.error());
    }
  }
  Next.Mesh->findZonesOutOfService();
  auto Done = this->checkRoutes(Next).and_then(
      [&Next, RoutesLeft] { return Next.Mesh->checkClosure(RoutesLeft > 0); });
  if (!Done)
    return tl::make_unexpected(Done.error());
  return Next;
}

Result<void> RoutingView::checkRoutes(const Update &Next) const {
  for (const auto &[Name, Route] : Next.Routes)
    if (Route)
      if (auto Done = Next.Mesh->checkRoute(Name, *Route); !Done)
        return Done;
  const auto &Services = this->Shared->Mesh.Services;
  bool ServiceRemoved =
      std::any_of(Services.begin(), Services.end(), [&Next](const auto &Each) {
        return !Next.Mesh->Services.contains(Each.first);
      });
  if (!ServiceRemoved)
    return {};
  for (const auto &[Name, Route] : this->Shared->Routes)
    if (!Next.Routes.contains(Name))
      if (auto Done = Next.Mesh->checkRoute(Name, Route); !Done)
        return Done;
  return {};
}

void RoutingView::commit(Update Prepared) {
  if (this->Shared.use_count() > 1)
    this->Shared = this->Shared->copy();
  this->Shared->Mesh = std::move(*Prepared.Mesh);
  for (auto &[Name, Route] : Prepared.Routes)
    this->Shared->setRoute(Name, std::move(Route));
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
  auto Found = this->Shared->Mesh.Services.find(Name);
  return Found == this->Shared->Mesh.Services.end() ? nullptr : &Found->second;
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
  auto Found = this->Shared->Mesh.Splits.find(Name);
  return Found == this->Shared->Mesh.Splits.end() ? None : Found->second;
}

bool RoutingView::zoneInService(const ZoneName &Name) const {
  bool Named = this->Shared->Mesh.Zones.empty() ||
               this->Shared->Mesh.Zones.contains(Name);
  return Named && !this->Shared->Mesh.ZonesOutOfService.contains(Name);
}

const std::set<ZoneName> &RoutingView::zonesOutOfService() const {
  return this->Shared->Mesh.ZonesOutOfService;
}

bool RoutingView::isBad(const ServiceName &Service,
                        const VersionName &Version) const {
  return this->Shared->Mesh.Bad.contains({Service, Version});
}

const Json *RoutingView::openMove(const ServiceName &Name) const {
  auto Found = this->Shared->Mesh.Moves.find(Name);
  return Found == this->Shared->Mesh.Moves.end() ? nullptr : &Found->second;
}

const MeshLimits &RoutingView::limits() const {
  return this->Shared->Mesh.Limits;
}

OperatorVersion RoutingView::version() const {
  return this->Shared->Mesh.Version;
}

const std::string &RoutingView::digest() const {
  return this->Shared->Mesh.Digest;
}

const std::map<ServiceName, ServiceSpec> &RoutingView::services() const {
  return this->Shared->Mesh.Services;
}

const std::map<RouteName, RouteSpec> &RoutingView::routes() const {
  return this->Shared->Routes;
}

const std::map<ZoneName, ZoneSpec> &RoutingView::zones() const {
  return this->Shared->Mesh.Zones;
}

} // namespace amaranthward
