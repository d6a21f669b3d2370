#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBER_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBER_H

#include "libcore/ids.h"
#include <cstdint>

namespace amaranthward {

/// A node with an active session and the upstream beside it, as published in
/// the member table.
struct Member {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
  /// Address at which other nodes connect to this node.
  Endpoint PeerAddress;
  /// Empty while no upstream has registered with the node.
  ServiceName Service;
  VersionName Version;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool Leaving = false;
  /// The node has had a set in force for a few seconds at most; see RelayTree.
  bool Starting = false;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace amaranthward

#endif
