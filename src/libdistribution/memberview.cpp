#include "libdistribution/memberview.h"

namespace amaranthward {

bool MemberView::refresh(const ResourceTable &Table) {
  if (Table.current() == this->DecodedVersion &&
      Table.complete() == this->DecodedComplete)
    return false;
  // Marking a table complete drops members of earlier epochs without
  // tombstones, so the list of changed keys does not contain them.
  auto Keys = Table.complete() == this->DecodedComplete
                  ? Table.keysChangedSince(this->DecodedVersion)
                  : std::nullopt;
  this->DecodedVersion = Table.current();
  this->DecodedComplete = Table.complete();
  bool Changed = false;
  if (Keys) {
    for (const std::string &Key : *Keys)
      Changed |= this->update(Key, Table.find(Key));
  } else {
    Changed = this->reload(Table);
  }
  if (Changed)
    this->Trees.clear();
  return Changed;
}

bool MemberView::update(const std::string &Key, const Json *Value) {
  const std::string Prefix = memberKey(NodeName());
  if (!Key.starts_with(Prefix))
    return false;
  NodeName Node(Key.substr(Prefix.size()));
  auto Decoded = Value ? memberFromJson(Node, *Value)
                       : Result<Member>(fail(ErrorCode::NotFound, ""));
  if (!Decoded)
    return this->Members.erase(Node) > 0;
  auto [Found, Added] = this->Members.try_emplace(Node, *Decoded);
  const bool Changed = Added || Found->second != *Decoded;
  Found->second = std::move(*Decoded);
  return Changed;
}

bool MemberView::reload(const ResourceTable &Table) {
  std::map<NodeName, Member> Next;
  for (Member &Decoded : membersIn(Table.resources())) {
    NodeName Node = Decoded.Node;
    Next.emplace(std::move(Node), std::move(Decoded));
  }
  const bool Changed = Next != this->Members;
  this->Members = std::move(Next);
  return Changed;
}

const RelayTree &MemberView::treeOf(const ZoneName &Zone) {
  auto Found = this->Trees.find(Zone);
  if (Found != this->Trees.end())
    return Found->second;
  std::vector<Member> ZoneMembers;
  for (const auto &[Node, Listed] : this->Members)
    if (Listed.Zone == Zone)
      ZoneMembers.push_back(Listed);
  return this->Trees
      .emplace(Zone, *RelayTree::create(Zone, ZoneMembers, this->Shape))
      .first->second;
}

std::vector<ParentCandidate>
MemberView::parentsFor(const SyncRequest &Request) {
  return this->treeOf(Request.Zone).candidatesFor(Request.Node);
}

} // namespace amaranthward
