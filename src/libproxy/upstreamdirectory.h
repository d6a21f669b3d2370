#ifndef AMARANTHWARD_LIBPROXY_UPSTREAMDIRECTORY_H
#define AMARANTHWARD_LIBPROXY_UPSTREAMDIRECTORY_H

#include "libpolicy/upstreamselector.h"
#include "libproxy/proxystate.h"
#include <map>
#include <unordered_map>

namespace amaranthward {

/// Selects upstreams by service and version.
class UpstreamDirectory {
public:
  /// An upstream selected for an attempt; pass it to finish() when that ends.
  struct Chosen {
    /// The version that was asked for; may be AnyVersion.
    VersionName Version;
    UpstreamHandle Handle;
    Member Target;
  };

  UpstreamDirectory(NodeIdentity Self, RandomFunction Random);

  void update(const ProxyState &State, Instant Now);

  /// Selects an upstream and counts an attempt in flight at it. None when no
  /// upstream of that version is in service.
  std::optional<Chosen>
  choose(const ServiceName &Service, const VersionName &Version, Instant Now,
         const std::vector<UpstreamHandle> &Tried,
         LocalityPreference Locality = LocalityPreference::Normal);
  /// Whether an upstream of that version in service is not in \a Tried.
  bool hasUntried(const ServiceName &Service, const VersionName &Version,
                  const std::vector<UpstreamHandle> &Tried) const;
  /// Reports the result of an attempt that choose() returned.
  void finish(const ServiceName &Service, const Chosen &Ended,
              AttemptResult Result, Duration Latency, Instant Now);
  /// Passes the load that a gate reported to the selection. Malformed values
  /// are ignored. \param Load value of the load header, "IN-FLIGHT/LIMIT".
  void hintLoad(const ServiceName &Service, const Chosen &From,
                const std::string &Load, Instant Now);
  std::size_t inService(const ServiceName &Service,
                        const VersionName &Version) const;
  /// Null when the node is not a member.
  const Member *member(const NodeName &Node) const;
  Json dump(Instant Now) const;

private:
  using Group = std::pair<ServiceName, VersionName>;

  NodeIdentity Self;
  RandomFunction Random;
  std::map<Group, UpstreamSelector> Selectors;
  std::unordered_map<NodeName, Member> Members;
};

} // namespace amaranthward

#endif
