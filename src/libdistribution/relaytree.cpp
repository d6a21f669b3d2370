#include "libdistribution/relaytree.h"

#include "libcore/hashing.h"
#include <algorithm>

namespace amaranthward {

namespace {

/// Orders nodes by descending rendezvous weight, then by name.
bool ranksBefore(const ZoneName &Zone, const NodeName &Left,
                 const NodeName &Right) {
  const std::uint64_t LeftWeight = rendezvousWeight(Zone.str(), Left.str());
  const std::uint64_t RightWeight = rendezvousWeight(Zone.str(), Right.str());
  if (LeftWeight != RightWeight)
    return LeftWeight > RightWeight;
  return Left < Right;
}

/// Whether enough members remain as relays without those that have just
/// started. After a restart of everything nobody else could relay.
bool mostHaveStarted(const ZoneName &Zone, const std::vector<Member> &Members) {
  std::size_t Present = 0;
  std::size_t Started = 0;
  for (const Member &Listed : Members)
    if (Listed.Zone == Zone && !Listed.Leaving) {
      ++Present;
      Started += Listed.Starting ? 0 : 1;
    }
  return 2 * Started >= Present;
}

} // namespace

Result<RelayTree> RelayTree::create(const ZoneName &Zone,
                                    const std::vector<Member> &Members,
                                    RelayTreeOptions Options) {
  if (Options.FanOut == 0 || Options.Roots == 0)
    return fail(ErrorCode::InvalidArgument,
                "a relay tree needs a fan-out and a number of roots above 0");
  RelayTree Tree;
  Tree.Zone = Zone;
  Tree.Options = Options;
  const bool SkipsStarting = mostHaveStarted(Zone, Members);
  for (const Member &Listed : Members)
    if (Listed.Zone == Zone && !Listed.Leaving &&
        !(SkipsStarting && Listed.Starting))
      Tree.Ranked.push_back({Listed.Node, Listed.PeerAddress});
  std::sort(Tree.Ranked.begin(), Tree.Ranked.end(),
            [&Zone](const ParentCandidate &Left, const ParentCandidate &Right) {
              return ranksBefore(Zone, Left.Node, Right.Node);
            });
  for (std::size_t Rank = 0; Rank < Tree.Ranked.size(); ++Rank)
    Tree.Ranks[Tree.Ranked[Rank].Node] = Rank;
  return Tree;
}

std::optional<std::size_t> RelayTree::rankOf(const NodeName &Node) const {
  auto Found = this->Ranks.find(Node);
  if (Found == this->Ranks.end())
    return std::nullopt;
  return Found->second;
}

std::optional<NodeName> RelayTree::parentOf(const NodeName &Node) const {
  auto Rank = this->rankOf(Node);
  if (!Rank || *Rank < this->Options.Roots)
    return std::nullopt;
  return this->Ranked[this->parentRank(*Rank)].Node;
}

std::size_t RelayTree::depthOf(const NodeName &Node) const {
  std::size_t Depth = 1;
  for (std::size_t Rank = this->expectedRank(Node); Rank >= this->Options.Roots;
       Rank = this->parentRank(Rank))
    ++Depth;
  return Depth;
}

std::vector<ParentCandidate>
RelayTree::candidatesFor(const NodeName &Node) const {
  std::vector<ParentCandidate> Candidates;
  std::size_t Rank = this->expectedRank(Node);
  if (Rank < this->Options.Roots)
    return Candidates;
  while (Rank >= this->Options.Roots) {
    Rank = this->parentRank(Rank);
    Candidates.push_back(this->Ranked[Rank]);
  }
  for (std::size_t Root = 0; Root < this->Options.Roots; ++Root)
    if (Root != Rank)
      Candidates.push_back(this->Ranked[Root]);
  return Candidates;
}

std::vector<ParentCandidate> RelayTree::otherRoots(const NodeName &Node) const {
  std::vector<ParentCandidate> Others;
  if (this->expectedRank(Node) >= this->Options.Roots)
    return Others;
  for (std::size_t Root = 0;
       Root < std::min(this->Options.Roots, this->Ranked.size()); ++Root)
    if (this->Ranked[Root].Node != Node)
      Others.push_back(this->Ranked[Root]);
  return Others;
}

std::size_t RelayTree::expectedRank(const NodeName &Node) const {
  if (auto Rank = this->rankOf(Node))
    return *Rank;
  auto Position = std::lower_bound(
      this->Ranked.begin(), this->Ranked.end(), Node,
      [this](const ParentCandidate &Left, const NodeName &Right) {
        return ranksBefore(this->Zone, Left.Node, Right);
      });
  return static_cast<std::size_t>(Position - this->Ranked.begin());
}

std::size_t RelayTree::parentRank(std::size_t Rank) const {
  return (Rank - this->Options.Roots) / this->Options.FanOut;
}

} // namespace amaranthward
