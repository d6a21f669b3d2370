#include "libdistribution/memberview.h"

namespace amaranthward {

bool MemberView::refresh(const ResourceTable &Table) {
  if (Table.current() == this->Seen && Table.complete() == this->SeenComplete)
    return false;
  // Completion drops members of earlier epochs without a record of it.
  auto Keys = Table.complete() == this->SeenComplete
                  ? Table.keysChangedSince(this->Seen)
                  : std::nullopt;
  this->Seen = Table.current();
  this->SeenComplete = Table.complete();
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
  auto One = Value ? memberFromJson(Node, *Value)
                   : Result<Member>(fail(ErrorCode::NotFound, ""));
  if (!One)
    return this->Members.erase(Node) > 0;
  auto [Found, Added] = this->Members.try_emplace(Node, *One);
  const bool Changed = Added || Found->second != *One;
  Found->second = std::move(*One);
  return Changed;
}

bool MemberView::reload(const ResourceTable &Table) {
  std::map<NodeName, Member> Next;
  for (Member &One : membersIn(Table.resources())) {
    NodeName Node = One.Node;
    Next.emplace(std::move(Node), std::move(One));
  }
  const bool Changed = Next != this->Members;
  this->Members = std::move(Next);
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
