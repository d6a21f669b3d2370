#include "libdistribution/relaytree.h"

#include <doctest/doctest.h>
#include <set>

using namespace amaranthward;

namespace {

const ZoneName Zone("zagreb-a");

std::vector<Member> makeMembers(std::size_t Count) {
  std::vector<Member> All;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Member One;
    One.Node = NodeName("node-" + std::to_string(Index));
    One.Zone = Zone;
    One.PeerAddress = Endpoint("10.0.0.1:" + std::to_string(Index));
    All.push_back(One);
  }
  return All;
}

} // namespace

TEST_CASE("Every node reaches a root, with at most the fan-out of children") {
  // Guards against cycles and against a relay with too many children.
  for (std::size_t Count : {1, 2, 3, 18, 19, 83, 400}) {
    CAPTURE(Count);
    const std::vector<Member> All = makeMembers(Count);
    const RelayTree Tree = *RelayTree::create(Zone, All);
    std::map<NodeName, std::size_t> Children;
    std::size_t Roots = 0;
    for (const Member &One : All) {
      std::set<NodeName> Path{One.Node};
      auto Parent = Tree.parentOf(One.Node);
      Roots += Parent ? 0 : 1;
      if (Parent)
        ++Children[*Parent];
      for (; Parent; Parent = Tree.parentOf(*Parent))
        REQUIRE(Path.insert(*Parent).second);
      CHECK(Tree.depthOf(One.Node) == Path.size());
    }
    CHECK(Roots == std::min<std::size_t>(2, Count));
    for (const auto &[Node, Number] : Children)
      CHECK(Number <= 8);
  }
}

TEST_CASE("Every candidate ranks above its child") {
  // Guards against two nodes that fall back to each other.
  const std::vector<Member> All = makeMembers(83);
  const RelayTree Tree = *RelayTree::create(Zone, All);
  for (const Member &One : All) {
    const auto Candidates = Tree.candidatesFor(One.Node);
    CHECK(Candidates.empty() == !Tree.parentOf(One.Node).has_value());
    if (!Candidates.empty())
      CHECK(Candidates.front().Node == *Tree.parentOf(One.Node));
    for (const ParentCandidate &Candidate : Candidates)
      CHECK(*Tree.rankOf(Candidate.Node) < *Tree.rankOf(One.Node));
  }
}

TEST_CASE("A member that comes or goes moves few others") {
  // Guards against a tree that is rebuilt on every change.
  const std::vector<Member> All = makeMembers(84);
  std::size_t Moved = 0;
  std::size_t Compared = 0;
  const RelayTree Whole = *RelayTree::create(Zone, All);
  for (std::size_t Gone = 0; Gone < All.size(); ++Gone) {
    std::vector<Member> Rest = All;
    Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Gone));
    const RelayTree Tree = *RelayTree::create(Zone, Rest);
    for (const Member &One : Rest) {
      ++Compared;
      Moved += Whole.parentOf(One.Node) != Tree.parentOf(One.Node) ? 1 : 0;
    }
  }
  MESSAGE("moved " << Moved << " of " << Compared);
  CHECK(Moved * 5 < Compared);
}

TEST_CASE("Leaving members and other zones serve no one") {
  std::vector<Member> All = makeMembers(30);
  const RelayTree Before = *RelayTree::create(Zone, All);
  const NodeName Relay = Before.candidatesFor(NodeName("node-5")).empty()
                             ? *Before.parentOf(NodeName("node-6"))
                             : *Before.parentOf(NodeName("node-5"));
  for (Member &One : All)
    if (One.Node == Relay)
      One.Leaving = true;
  All[7].Zone = ZoneName("varazdin");
  const RelayTree After = *RelayTree::create(Zone, All);
  for (const Member &One : All)
    for (const ParentCandidate &Candidate : After.candidatesFor(One.Node)) {
      CHECK(Candidate.Node != Relay);
      CHECK(Candidate.Node != All[7].Node);
    }
}

TEST_CASE("A node outside the list gets the place that it will have") {
  std::vector<Member> All = makeMembers(40);
  const RelayTree Whole = *RelayTree::create(Zone, All);
  const Member Last = All.back();
  All.pop_back();
  const RelayTree Without = *RelayTree::create(Zone, All);
  CHECK(Without.candidatesFor(Last.Node) == Whole.candidatesFor(Last.Node));
}
