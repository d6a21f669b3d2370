#ifndef AMARANTHWARD_LIBCONFIG_CONFIGURATIONSET_H
#define AMARANTHWARD_LIBCONFIG_CONFIGURATIONSET_H

#include "libcore/callclass.h"
#include "libcore/ids.h"
#include "libcore/units.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthward {

/// "urgent", "interactive" or "bulk".
const char *toString(CallClass Class);
/// Inverse of \a toString; nothing for any other text.
std::optional<CallClass> callClassOf(std::string_view Text);

/// An availability zone.
struct ZoneSpec {
  ZoneName Name;
  RegionName Region;
  bool InService = true;
};

/// Limits of each upstream of a service.
struct UpstreamLimits {
  std::uint32_t Slots = 9;
  std::uint32_t Connections = 120;
  /// Calls that may wait for a slot at one gate.
  std::uint32_t Queue = 64;
  /// Time that an upstream needs from a cold start to full load.
  Duration WarmUp = std::chrono::seconds(10);
};

/// How traffic moves to the wanted split. Exactly one of \a FinishBy and
/// \a FinishWithin is set.
struct MoveSpec {
  /// The move is done or rolled back by this time.
  std::optional<WallTime> FinishBy;
  /// The same, relative to the time at which the set is accepted.
  std::optional<Duration> FinishWithin;
  /// Time for which the previous version is kept ready after the last step.
  Duration Probation = std::chrono::seconds(60);
};

struct ServiceSpec {
  ServiceName Name;
  std::vector<VersionName> Versions;
  /// Wanted shares; they add up to Share::Whole. Every version has an entry,
  /// if only of 0. Empty in a \a RoutingView, which has the split in force.
  std::map<VersionName, Share> Split;
  std::optional<MoveSpec> Move;
  std::vector<ServiceName> DependsOn;
  UpstreamLimits Limits;
};

struct RouteSpec {
  RouteName Name;
  /// Empty matches every method.
  std::string Method;
  std::string PathPrefix;
  ServiceName Service;
  CallClass Class = CallClass::Interactive;
  bool Idempotent = true;
  Duration Timeout = std::chrono::seconds(5);
};

/// Settings that hold for the whole mesh.
struct MeshLimits {
  /// Retries as a share of calls.
  Share RetryBudget = Share(1000);
  /// How long the outcome of a keyed request is remembered.
  Duration IdempotencyRetention = std::chrono::seconds(120);
};

/// One whole set, as operators submit it.
struct ConfigurationSet {
  OperatorVersion Version;
  std::vector<ZoneSpec> Zones;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  MeshLimits Limits;

  const ServiceSpec *findService(const ServiceName &Name) const;
  const ZoneSpec *findZone(const ZoneName &Name) const;
};

} // namespace amaranthward

#endif
