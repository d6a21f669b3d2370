#include "libdistribution/mesh.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

// 9 Mbit/s.
constexpr std::uint64_t NarrowLink = 1'125'000;
// Within this time a confirmed change must be in force on every node.
constexpr Duration ApplyBound = 2s;

std::string randomName(const RandomFunction &Random, int Letters) {
  std::string Name;
  for (int Index = 0; Index < Letters; ++Index)
    Name.push_back(static_cast<char>('a' + Random() % 26));
  return Name;
}

/// \a Count routes with random names, hosts and prefixes.
std::vector<ResourceChange> newRoutes(const RandomFunction &Random,
                                      std::size_t Count) {
  std::vector<ResourceChange> Changes;
  Changes.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Changes.push_back({"route/r-" + randomName(Random, 7),
                       Json{{"host", randomName(Random, 6) + ".example"},
                            {"path_prefix", "/" + randomName(Random, 8) + "/"},
                            {"method", ""},
                            {"class", "interactive"},
                            {"idempotent", true},
                            {"timeout_us", 1200000U},
                            {"objective_us", 400000U},
                            {"attempts", 2U},
                            {"priority", 2U},
                            {"service", "orders"}}});
  return Changes;
}

/// Nodes on narrow links; the leader's link has no limit.
struct NarrowMesh : Mesh {
  explicit NarrowMesh(MeshOptions Options) : Mesh(1, std::move(Options)) {
    for (const auto &Node : this->Nodes)
      this->Wire.BytesPerSecond[Node->Self.PeerAddress.str()] = NarrowLink;
    this->change(newRoutes(this->Wire.Random, 800), Revision(1));
    this->startAll();
    REQUIRE(this->runUntil([this] { return this->converged(); }, 60s));
    this->Wire.run(5s);
  }
  /// Lets every node report new counters every 200 ms, as in an open move.
  void startReports() {
    for (const auto &Node : this->Nodes) {
      Node->Client->observe(Json{{"calls", ++this->Reported}});
      Node->Client->reportSoon(this->Wire.Now);
    }
    this->Wire.at(this->Wire.Now + 200ms, [this] { this->startReports(); });
  }
  bool allInForce(Revision Wanted) const {
    return std::all_of(
        this->Nodes.begin(), this->Nodes.end(),
        [Wanted](const auto &Node) { return Node->State.inForce() >= Wanted; });
  }

  std::uint64_t Reported = 0;
};

MeshOptions zonesOf(std::size_t NodesPerZone) {
  MeshOptions Options;
  Options.NodesPerZone = NodesPerZone;
  return Options;
}

} // namespace

TEST_CASE("a large change is late behind narrow links") {
  NarrowMesh Net(zonesOf(25));
  SUBCASE("without reports") {}
  SUBCASE("while all nodes report") { Net.startReports(); }
  Net.change(newRoutes(Net.Wire.Random, 1400), Revision(2));
  const auto Took =
      Net.runUntil([&] { return Net.allInForce(Revision(2)); }, 30s);
  REQUIRE(Took.has_value());
  CAPTURE(Took->count());
  CHECK(*Took <= ApplyBound);
}

TEST_CASE("a run of changes keeps nodes behind a large one") {
  NarrowMesh Net(zonesOf(25));
  Net.startReports();
  std::uint64_t Last = 2;
  Net.change(newRoutes(Net.Wire.Random, 1400), Revision(Last));
  const Instant Confirmed = Net.Wire.Now;
  for (; Last < 8; ++Last) {
    Net.Wire.run(330ms);
    Net.change(newRoutes(Net.Wire.Random, 3), Revision(Last + 1));
  }
  const auto More =
      Net.runUntil([&] { return Net.allInForce(Revision(2)); }, 30s);
  REQUIRE(More.has_value());
  CHECK(Net.Wire.Now - Confirmed <= ApplyBound);
  CHECK(
      Net.runUntil([&] { return Net.allInForce(Revision(Last)); }, ApplyBound));
}
