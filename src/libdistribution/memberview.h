#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBERVIEW_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBERVIEW_H

#include "libdistribution/membercodec.h"
#include "libdistribution/relaytree.h"
#include "libdistribution/resourcetable.h"
#include <map>

namespace amaranthward {

/// Decoded members of a member table and the relay trees built from them.
/// A refresh decodes only the resources changed since the previous one.
class MemberView {
public:
  explicit MemberView(RelayTreeOptions Shape = {}) : Shape(Shape) {}

  /// Updates the view from \a Members; returns true when a member changed.
  bool refresh(const ResourceTable &Members);
  const std::map<NodeName, Member> &members() const { return this->Members; }
  /// Returns the relay tree of \a Zone, built on first use after a change.
  const RelayTree &treeOf(const ZoneName &Zone);
  /// Returns the parents that a control leader assigns to a requesting child,
  /// first choice first; empty for a root.
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request);

private:
  bool update(const std::string &Key, const Json *Value);
  bool reload(const ResourceTable &Table);

  RelayTreeOptions Shape;
  std::map<NodeName, Member> Members;
  std::map<ZoneName, RelayTree> Trees;
  TableVersion DecodedVersion;
  bool DecodedComplete = true;
};

} // namespace amaranthward

#endif
