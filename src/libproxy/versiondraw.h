#ifndef AMARANTHWARD_LIBPROXY_VERSIONDRAW_H
#define AMARANTHWARD_LIBPROXY_VERSIONDRAW_H

#include "libconfig/routingview.h"
#include "libcore/units.h"
#include <map>
#include <optional>
#include <vector>

namespace amaranthward {

/// Local upper limits for the share of a version at this node. They have an
/// effect only where they are lower than the share in the split.
using ShareLimits = std::map<std::pair<ServiceName, VersionName>, Share>;

/// Placeholder for all versions of a service that are not marked bad. It is
/// used for services whose versions are those that upstreams announce, while no
/// split is configured.
inline const VersionName AnyVersion;

/// The version that an open move shifts traffic to; empty without a move.
VersionName candidateOf(const RoutingView &View, const ServiceName &Service);
/// The version that an open move shifts traffic from; empty without a move.
VersionName baselineOf(const RoutingView &View, const ServiceName &Service);

/// Draws the version of one call by the split in force, without versions that
/// are marked bad and within \a Limits. The share that \a Limits takes from a
/// version goes to the baseline. The first element is the drawn version. The
/// others are fallbacks, largest share first, for when the first has no
/// upstream; the candidate of a move is never a fallback, because its share
/// must not grow. Empty when no version may be used.
std::vector<VersionName> drawVersions(const RoutingView &View,
                                      const ServiceName &Service,
                                      const ShareLimits &Limits,
                                      std::uint64_t Random);

} // namespace amaranthward

#endif
