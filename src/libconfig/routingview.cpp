#include "libconfig/routingview.h"

#include "libconfig/jsonfields.h"
#include "libconfig/routetable.h"
#include "libconfig/routingmeshpart.h"
#include "libconfig/speccodec.h"
#include <algorithm>
#include <set>
#include <utility>

namespace amaranthward {

struct RoutingView::Content {
  MeshPart Mesh;
  std::map<RouteName, RouteSpec> Routes;
  RouteTable Table;

  std::shared_ptr<Content> copy() const;
  void setRoute(const RouteName &Name, std::optional<RouteSpec> Value);
};

namespace {

constexpr std::string_view RoutePrefix = "route/";

} // namespace

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
