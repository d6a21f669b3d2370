#ifndef AMARANTHWARD_LIBCONFIG_ROUTINGMESHPART_H
#define AMARANTHWARD_LIBCONFIG_ROUTINGMESHPART_H

#include "libconfig/routingview.h"

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

/// The error for a resource \a Key of a state that does not fit together.
tl::unexpected<Error> misfit(const std::string &Key,
                             const std::string &Problem);

} // namespace amaranthward

#endif
