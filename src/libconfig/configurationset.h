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
  /// Calls per second that a cold upstream can take; 0 when not declared. An
  /// upstream of a service that declares it also declares how long it is cold.
  double ColdCallsPerSecond = 0;
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
  /// Empty: the versions are those that the upstreams announce.
  std::vector<VersionName> Versions;
  /// Wanted shares; they add up to Share::Whole. Every version has an entry,
  /// if only of 0. Empty in a \a RoutingView, which has the split in force.
  std::map<VersionName, Share> Split;
  std::optional<MoveSpec> Move;
  std::vector<ServiceName> DependsOn;
  UpstreamLimits Limits;
};

/// Part of a route's calls that goes to one service.
struct RoutePart {
  ServiceName Service;
  /// In proportion to the weights of the other parts; not negative.
  double Weight = 0;

  friend bool operator==(const RoutePart &, const RoutePart &) = default;
};

struct RouteSpec {
  RouteName Name;
  /// Compared without port and case; empty matches every host.
  std::string Host;
  /// Empty matches every method.
  std::string Method;
  /// With a slash at its end it matches the paths that it begins, byte by byte;
  /// sets of the platform have such prefixes. Without one it matches whole
  /// segments: "/orders" matches "/orders" and "/orders/17" but not
  /// "/orders-archive"; sets in YAML have such prefixes.
  std::string PathPrefix;
  /// The service of all calls; for a route with parts, that of the first.
  ServiceName Service;
  /// Empty: all calls go to \a Service.
  std::vector<RoutePart> Parts;
  CallClass Class = CallClass::Interactive;
  bool Idempotent = true;
  Duration Timeout = std::chrono::seconds(5);
  /// Latency within which a response has its full value; 0 when not stated.
  Duration Objective = Duration::zero();
  /// Upstreams to which one call may be sent; 0 for the default.
  std::uint32_t Attempts = 0;
  /// Rank among the routes of a service, 0 for the most important.
  std::uint32_t Priority = 0;

  /// Whether any part of the calls goes to \a Name.
  bool serves(const ServiceName &Name) const;
};

/// Settings that hold for the whole mesh.
struct MeshLimits {
  /// Retries as a share of calls.
  Share RetryBudget = Share(1000);
  /// How long the outcome of a keyed request is remembered.
  Duration IdempotencyRetention = std::chrono::seconds(120);
  /// What callers may send; the node's defaults where not stated.
  std::optional<std::size_t> MaxHeaderBytes;
  std::optional<std::uint64_t> MaxBodyBytes;
  std::optional<Duration> HeaderTimeout;
  std::optional<Duration> IdleTimeout;
};

/// One whole set, as operators submit it.
struct ConfigurationSet {
  OperatorVersion Version;
  /// The version that this set was written against; 0 for the first set. None
  /// when the operator does not state it.
  std::optional<OperatorVersion> Base;
  /// The set as the operator sent it; empty when it is not kept.
  std::string Source;
  std::vector<ZoneSpec> Zones;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  MeshLimits Limits;

  const ServiceSpec *findService(const ServiceName &Name) const;
  const ZoneSpec *findZone(const ZoneName &Name) const;
};

} // namespace amaranthward

#endif
