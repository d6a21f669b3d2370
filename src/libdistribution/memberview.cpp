#include "libdistribution/memberview.h"

namespace amaranthward {

bool MemberView::refresh(const ResourceTable &Table) {
  if (Table.current() == this->Seen)
    return false;
  this->Seen = Table.current();
  bool Changed = false;
  const std::string Prefix = memberKey(NodeName());
  std::map<std::string, TableVersion> Present;
  const ResourceMap &All = Table.resources();
  for (auto It = All.lower_bound(Prefix);
       It != All.end() && It->first.starts_with(Prefix); ++It) {
    const TableVersion Version = *Table.versionOf(It->first);
    Present.emplace_hint(Present.end(), It->first, Version);
    auto Known = this->Versions.find(It->first);
    if (Known != this->Versions.end() && Known->second == Version)
      continue;
    NodeName Node(It->first.substr(Prefix.size()));
    if (auto One = memberFromJson(Node, It->second)) {
      Changed = Changed || this->Members[Node] != *One;
      this->Members[Node] = std::move(*One);
    }
  }
  for (const auto &[Key, Version] : this->Versions)
    if (!Present.contains(Key))
      Changed |= this->Members.erase(NodeName(Key.substr(Prefix.size()))) > 0;
  this->Versions = std::move(Present);
  if (Changed)
    this->Trees.clear();
  return Changed;
}

const RelayTree &MemberView::treeOf(const ZoneName &Zone) {
  auto Found = this->Trees.find(Zone);
  if (Found != this->Trees.end())
    return Found->second;
  std::vector<Member> All;
  for (const auto &[Node, One] : this->Members)
    if (One.Zone == Zone)
      All.push_back(One);
  return this->Trees.emplace(Zone, *RelayTree::create(Zone, All)).first->second;
}

std::vector<ParentCandidate>
MemberView::parentsFor(const SyncRequest &Request) {
  return this->treeOf(Request.Zone).candidatesFor(Request.Node);
}

} // namespace amaranthward
