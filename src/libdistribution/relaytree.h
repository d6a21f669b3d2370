#ifndef AMARANTHWARD_LIBDISTRIBUTION_RELAYTREE_H
#define AMARANTHWARD_LIBDISTRIBUTION_RELAYTREE_H

#include "libdistribution/syncmessages.h"
#include <map>

namespace amaranthward {

struct RelayTreeOptions {
  /// Maximum number of children of a node. A relay sends a large change to all
  /// of them through its own link, which is narrow.
  std::size_t FanOut = 4;
  /// Nodes of each zone that sync with the control leader.
  std::size_t Roots = 2;
};

/// The tree along which state is distributed within one zone. It is a pure
/// function of the member list: nodes are ranked by rendezvous hash, and every
/// parent and candidate has a lower rank number than its child, so that nodes
/// form no cycle.
///
/// While at least half of the members have started, those that have just
/// started are no parents: they may not have the set yet, and have no changes
/// from before their own snapshot, so that their children would take all of it.
/// They have the parents that their rank would give them.
class RelayTree {
public:
  /// Members of other zones and leaving members are ignored. Fails with
  /// InvalidArgument when FanOut or Roots is 0.
  static Result<RelayTree> create(const ZoneName &Zone,
                                  const std::vector<Member> &Members,
                                  RelayTreeOptions Options = {});

  /// Position in the ranking, 0 first; absent for a node that is no member or
  /// has just started.
  std::optional<std::size_t> rankOf(const NodeName &Node) const;
  /// Absent for a root, which syncs with the control leader, and for a node
  /// without a rank.
  std::optional<NodeName> parentOf(const NodeName &Node) const;
  /// Hops from the leader; 1 for a root.
  std::size_t depthOf(const NodeName &Node) const;
  /// Parents to try before the control leader, first choice first: the
  /// parent, its ancestors, the roots. Empty for a root. A node that is not
  /// yet a member gets the candidates that it will have as a member.
  std::vector<ParentCandidate> candidatesFor(const NodeName &Node) const;
  /// The other roots of a root's zone. During a source outage a root takes
  /// data from them, so that a revision that reached only one root reaches
  /// the whole zone.
  std::vector<ParentCandidate> otherRoots(const NodeName &Node) const;
  std::size_t size() const { return this->Ranked.size(); }

private:
  /// The rank of \a Node, or the rank that it would get as a new member.
  std::size_t expectedRank(const NodeName &Node) const;
  std::size_t parentRank(std::size_t Rank) const;

  ZoneName Zone;
  RelayTreeOptions Options;
  /// Members in rank order.
  std::vector<ParentCandidate> Ranked;
  std::map<NodeName, std::size_t> Ranks;
};

} // namespace amaranthward

#endif
