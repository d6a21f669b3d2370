#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBERVIEW_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBERVIEW_H

#include "libdistribution/membercodec.h"
#include "libdistribution/relaytree.h"
#include "libdistribution/resourcetable.h"
#include <map>

namespace amaranthward {

/// The member table in decoded form with the relay trees that follow from it.
/// Decodes only what changed since the last refresh.
class MemberView {
public:
  /// Returns true when a member changed.
  bool refresh(const ResourceTable &Members);
  const std::map<NodeName, Member> &members() const { return this->Members; }
  /// Built on first use after a change.
  const RelayTree &treeOf(const ZoneName &Zone);
  /// The answer of a control leader to a child that asks for its parents.
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request);

private:
  bool update(const std::string &Key, const Json *Value);
  bool reload(const ResourceTable &Table);

  std::map<NodeName, Member> Members;
  std::map<ZoneName, RelayTree> Trees;
  TableVersion DecodedVersion;
  bool DecodedComplete = true;
};

} // namespace amaranthward

#endif
