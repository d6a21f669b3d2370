#ifndef AMARANTHWARD_LIBCONFIG_SPECCODEC_H
#define AMARANTHWARD_LIBCONFIG_SPECCODEC_H

#include "libconfig/configurationset.h"
#include "libcore/json.h"

namespace amaranthward {

/// JSON of the parts of a set without their names, as the values of resources
/// hold them. Reading fails with InvalidArgument when a field is missing or
/// has the wrong type.
Json toJson(const ZoneSpec &Zone);
Result<ZoneSpec> zoneFromJson(const ZoneName &Name, const Json &Value);

/// Leaves out Split and Move.
Json toJson(const ServiceSpec &Service);
Result<ServiceSpec> serviceFromJson(const ServiceName &Name, const Json &Value);

Json toJson(const RouteSpec &Route);
Result<RouteSpec> routeFromJson(const RouteName &Name, const Json &Value);

Json toJson(const MeshLimits &Limits);
Result<MeshLimits> meshLimitsFromJson(const Json &Value);

/// {"v1": 10000}.
Json toJson(const std::map<VersionName, Share> &Split);
Result<std::map<VersionName, Share>> sharesFromJson(const Json &Value);

Json toJson(const MoveSpec &Move);
Result<MoveSpec> moveFromJson(const Json &Value);

} // namespace amaranthward

#endif
