#ifndef AMARANTHWARD_LIBPROXY_PROXYSTATE_H
#define AMARANTHWARD_LIBPROXY_PROXYSTATE_H

#include "libconfig/routingview.h"
#include "libdistribution/member.h"
#include <memory>
#include <vector>

namespace amaranthward {

/// Identity and location of this node.
struct NodeIdentity {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
};

/// Configuration and members of the mesh as known to a node.
struct ProxyState {
  /// Null until the first configuration has arrived.
  std::shared_ptr<const RoutingView> View;
  /// Revision of View.
  Revision Applied;
  std::vector<Member> Members;
};

} // namespace amaranthward

#endif
