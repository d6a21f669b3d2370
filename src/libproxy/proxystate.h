#ifndef AMARANTHWARD_LIBPROXY_PROXYSTATE_H
#define AMARANTHWARD_LIBPROXY_PROXYSTATE_H

#include "libconfig/routingview.h"
#include "libdistribution/member.h"
#include <memory>
#include <vector>

namespace amaranthward {

/// Who this node is.
struct NodeIdentity {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
};

/// What a node knows about the mesh at one time.
struct ProxyState {
  /// Null until the first state has arrived.
  std::shared_ptr<const RoutingView> View;
  Revision Applied;
  std::vector<Member> Members;
};

} // namespace amaranthward

#endif
