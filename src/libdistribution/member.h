#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBER_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBER_H

#include "libcore/ids.h"
#include <cstdint>

namespace amaranthward {

/// A live node and the upstream beside it, as the members stream carries it.
struct Member {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
  /// Where other nodes reach this node.
  Endpoint PeerAddress;
  /// Empty while no upstream has announced itself to the node.
  ServiceName Service;
  VersionName Version;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool Leaving = false;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace amaranthward

#endif
