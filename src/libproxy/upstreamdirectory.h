#ifndef AMARANTHWARD_LIBPROXY_UPSTREAMDIRECTORY_H
#define AMARANTHWARD_LIBPROXY_UPSTREAMDIRECTORY_H

#include "libpolicy/upstreamselector.h"
#include "libproxy/proxystate.h"
#include <map>
#include <unordered_map>

namespace amaranthward {

/// The upstreams of each service and version, and the choice among them.
class UpstreamDirectory {
public:
  struct Chosen {
    VersionName Version;
    UpstreamHandle Handle;
    Member Target;
  };

  UpstreamDirectory(NodeIdentity Self, RandomFunction Random);

  void update(const ProxyState &State, Instant Now);

  /// None when no upstream of that version is in service.
  std::optional<Chosen>
  choose(const ServiceName &Service, const VersionName &Version, Instant Now,
         const std::vector<UpstreamHandle> &Avoid,
         LocalityPreference Near = LocalityPreference::Normal);
  /// Whether an upstream of that version in service is not in \a Tried.
  bool hasUntried(const ServiceName &Service, const VersionName &Version,
                  const std::vector<UpstreamHandle> &Tried) const;
  void finish(const ServiceName &Service, const Chosen &Ended,
              AttemptResult Result, Duration Latency, Instant Now);
  /// \param Load value of the load header, "IN-FLIGHT/LIMIT".
  void hintLoad(const ServiceName &Service, const Chosen &From,
                const std::string &Load, Instant Now);
  std::size_t inService(const ServiceName &Service,
                        const VersionName &Version) const;
  const Member *member(const NodeName &Node) const;
  Json dump(Instant Now) const;

private:
  using Group = std::pair<ServiceName, VersionName>;

  NodeIdentity Self;
  RandomFunction Random;
  std::map<Group, UpstreamSelector> Choices;
  std::unordered_map<NodeName, Member> Members;
};

} // namespace amaranthward

#endif
