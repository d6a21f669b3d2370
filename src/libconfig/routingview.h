#ifndef AMARANTHWARD_LIBCONFIG_ROUTINGVIEW_H
#define AMARANTHWARD_LIBCONFIG_ROUTINGVIEW_H

#include "libconfig/configurationset.h"
#include "libcore/resource.h"
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthward {

/// View of the replicated state, for the data path. Copies share their content
/// until one of them changes. A pointer or reference into a view stays valid
/// until the view changes.
///
/// A change costs time in proportion to the routes that it touches and to the
/// number of services and zones, not to the number of routes.
class RoutingView {
public:
  /// Changes that passed the checks of the view that prepared them.
  class Update;

  /// Checks the reference closure: the set, every route's service, every
  /// service's versions, dependencies and split, every split's service and
  /// versions. Keys with other prefixes, such as member/, are ignored. Fails
  /// with InvalidArgument and names the first resource that does not fit.
  ///
  /// Values of split/<service> are {"shares": {"v1": 10000}}. A key
  /// bad/<service>/<version> marks a version and a key zone-out/<zone> a zone
  /// whatever its value is. A service without versions needs no split.
  static Result<RoutingView> create(const ResourceMap &Resources);

  /// Checks the state after \a Changes like \a create, without changing the
  /// view.
  Result<Update> prepare(const std::vector<ResourceUpdate> &Changes) const;
  /// Applies an update that this view prepared last.
  void commit(Update Prepared);

  /// The route with the longest path prefix that matches, see
  /// RouteSpec::PathPrefix; for the same prefix, a route for \a Method before
  /// one for any method. \param Path without query. Nothing is decoded or
  /// normalised. \param Host value of the Host header; routes of that host come
  /// before routes for any host.
  const RouteSpec *matchRoute(std::string_view Method, std::string_view Path,
                              std::string_view Host = {}) const;
  /// The route of that name, or null.
  const RouteSpec *route(const RouteName &Name) const;
  /// Split and Move of the result are empty.
  const ServiceSpec *service(const ServiceName &Name) const;
  /// Whether the service's versions are those that its upstreams announce.
  bool hasAnnouncedVersions(const ServiceName &Name) const;
  /// Whether a route whose calls go to \a Name has class urgent.
  bool hasUrgentRoute(const ServiceName &Name) const;
  /// Shares now in force; empty for an unknown service.
  const std::map<VersionName, Share> &split(const ServiceName &Name) const;
  /// False for a zone that an order took out, and for one that the set does
  /// not name although it names others.
  bool zoneInService(const ZoneName &Name) const;
  /// Zones that the set or an order takes out of service.
  const std::set<ZoneName> &zonesOutOfService() const;
  bool isBad(const ServiceName &Service, const VersionName &Version) const;
  /// Value of move/<service>, or null.
  const Json *openMove(const ServiceName &Name) const;
  const MeshLimits &limits() const;

  OperatorVersion version() const;
  /// Digest of the accepted set.
  const std::string &digest() const;
  const std::map<ServiceName, ServiceSpec> &services() const;
  const std::map<RouteName, RouteSpec> &routes() const;
  const std::map<ZoneName, ZoneSpec> &zones() const;

private:
  struct MeshPart;
  struct Content;

  explicit RoutingView(std::shared_ptr<Content> Shared);
  /// Checks the routes that an update changes, and all of them when it removes
  /// a service.
  Result<void> checkRoutes(const Update &Next) const;

  /// Not changed while another copy of the view refers to it.
  std::shared_ptr<Content> Shared;
};

class RoutingView::Update {
private:
  friend class RoutingView;

  std::shared_ptr<MeshPart> Mesh;
  /// New values by name; empty for a removed route.
  std::map<RouteName, std::optional<RouteSpec>> Routes;
};

} // namespace amaranthward

#endif
