#include "libdistribution/mesh.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

std::vector<ResourceChange> makeChange(std::uint64_t Number) {
  return {{"route/" + std::to_string(Number % 7), Json{{"v", Number}}}};
}

/// A mesh with revision 1 in force and a complete member table.
std::unique_ptr<Mesh> makeMesh(std::uint64_t Seed, MeshOptions Options = {}) {
  auto Net = std::make_unique<Mesh>(Seed, std::move(Options));
  Net->change(makeChange(1), Revision(1));
  Net->startAll();
  Net->Wire.run(20s);
  return Net;
}

std::size_t relayIndex(const Mesh &Net) {
  // Returns the first node that is the parent of another node.
  for (std::size_t Index = 0; Index < Net.Nodes.size(); ++Index)
    for (const auto &Child : Net.Nodes)
      if (Child->Client->parent() == Net.Nodes[Index]->Self.PeerAddress)
        return Index;
  return 0;
}

std::size_t memberCount(const Process &Node) {
  return membersIn(Node.State.Members.resources()).size();
}

} // namespace

TEST_CASE(
    "A change reaches every node through the tree and all acknowledge it") {
  MeshOptions Options;
  Options.NodesPerZone = 30;
  auto Net = makeMesh(1, Options);
  REQUIRE(Net->converged());
  CHECK(Net->Leader.Server->children() == 6);
  Net->change(makeChange(2), Revision(2));
  auto Elapsed = Net->runUntil([&] { return Net->converged(); }, 4s);
  REQUIRE(Elapsed.has_value());
  // Three hops: from the leader to the root, the second and the third level.
  CHECK(*Elapsed <= 10ms);
  REQUIRE(
      Net->runUntil(
             [&] { return Net->Sessions->inForce(Revision(2)).InForce == 90; },
             1s)
          .has_value());
  CHECK(Net->Sessions->inForce(Revision(2)).Known == 90);
}

TEST_CASE("A node that missed hundreds of changes catches up in one delta") {
  auto Net = makeMesh(2);
  Process &Node = *Net->Nodes[5];
  Net->Wire.Disconnected.insert(Node.Self.PeerAddress.str());
  for (std::uint64_t Number = 2; Number <= 500; ++Number)
    Net->change(makeChange(Number), Revision(Number));
  Net->Wire.run(5s);
  Net->Wire.Disconnected.clear();
  Net->Wire.BytesIn.clear();
  REQUIRE(Net->runUntil([&] { return Net->converged(); }, 10s).has_value());
  CHECK(Node.State.Replicated.resources() ==
        Net->Leader.State.Replicated.resources());
  CHECK(Net->Wire.BytesIn[Node.Self.PeerAddress.str()] < 4000);
}

TEST_CASE("Children of a failed relay switch to another parent") {
  // Guards against a subtree that stays disconnected after its relay refuses
  // connections or stops answering.
  MeshOptions Options;
  Options.NodesPerZone = 15;
  auto Net = makeMesh(3, Options);
  const std::size_t Relay = relayIndex(*Net);
  SUBCASE("The relay refuses connections") { Net->stopNode(Relay); }
  SUBCASE("The relay does not answer") {
    Net->Wire.Disconnected.insert(Net->Nodes[Relay]->Self.PeerAddress.str());
  }
  Net->change(makeChange(2), Revision(2));
  auto Converged = [&] {
    for (std::size_t Index = 0; Index < Net->Nodes.size(); ++Index)
      if (Index != Relay && Net->Nodes[Index]->State.inForce() != Revision(2))
        return false;
    return true;
  };
  REQUIRE(Net->runUntil(Converged, 4s).has_value());
  Net->Wire.run(20s);
  // No child's session expired with the relay.
  CHECK(Net->Sessions->size() == Net->Nodes.size() - 1);
}

TEST_CASE("Children leave a relay that has lost its connection to the leader") {
  // Guards against children that stay with a parent that still answers but
  // receives no updates.
  MeshOptions Options;
  Options.Zones = 1;
  Options.NodesPerZone = 12;
  auto Net = makeMesh(4, Options);
  const std::size_t Relay = relayIndex(*Net);
  // Only requests sent by the relay are lost; its children still reach it.
  Net->Nodes[Relay]->Client->requestConfirmation(false);
  const Endpoint Address = Net->Nodes[Relay]->Self.PeerAddress;
  Net->DroppedSenders.insert(Address.str());
  Net->Wire.run(10s);
  Net->change(makeChange(2), Revision(2));
  REQUIRE(Net->runUntil(
                 [&] {
                   for (std::size_t I = 0; I < Net->Nodes.size(); ++I)
                     if (I != Relay &&
                         Net->Nodes[I]->State.inForce() != Revision(2))
                       return false;
                   return true;
                 },
                 4s)
              .has_value());
}

TEST_CASE("No session expires in a source outage and a leader change") {
  // Guards against mass expiry: every node keeps all members throughout.
  MeshOptions Options;
  Options.NodesPerZone = 10;
  std::size_t FewestMembers = 1000;
  bool CountingMembers = false;
  Options.OnChanged = [&](Process &Node) {
    if (CountingMembers)
      FewestMembers = std::min(FewestMembers, memberCount(Node));
  };
  auto Net = makeMesh(5, Options);
  CountingMembers = true;
  Net->Leader.IsRunning = false;
  Net->Wire.run(60s);
  Net->electLeader();
  Net->Wire.run(30s);
  CHECK(Net->Leader.State.Members.complete());
  CHECK(Net->Sessions->size() == 30);
  CHECK(FewestMembers == 30);
  CHECK(Net->converged());
  // The relay tree is restored: only the roots sync with the leader.
  CHECK(Net->Leader.Server->children() == 6);
}

TEST_CASE("A restarted node serves within 2 s while the leader is reachable") {
  auto Net = makeMesh(6);
  Net->change(makeChange(2), Revision(2));
  Net->Wire.run(1s);
  Net->startNode(4);
  CHECK_FALSE(Net->Nodes[4]->Guard->mayServe());
  auto Elapsed =
      Net->runUntil([&] { return Net->Nodes[4]->Guard->mayServe(); }, 2s);
  REQUIRE(Elapsed.has_value());
  CHECK(Net->Nodes[4]->State.inForce() == Revision(2));
}

TEST_CASE("A node restarted in a source outage waits for its witnesses") {
  auto Net = makeMesh(7);
  Net->Leader.IsRunning = false;
  Net->Wire.run(10s);
  Net->startNode(4);
  Process &Node = *Net->Nodes[4];
  Net->Wire.run(10s);
  // The node received the state from a witness but may not serve before all
  // witnesses have answered.
  CHECK(Node.State.inForce() == Revision(1));
  CHECK_FALSE(Node.Guard->mayServe());
  const std::vector<NodeName> Missing = Node.Guard->missingWitnesses();
  REQUIRE(Missing.size() == 2);
  for (const NodeName &Name : Missing) {
    CHECK_FALSE(Node.Guard->mayServe());
    REQUIRE(Node.Guard
                ->recordWitnessAnswer(Name,
                                      {Node.State.Cluster, Revision(1), true},
                                      Net->Wire.Now)
                .has_value());
  }
  CHECK(Node.Guard->mayServe());
  Net->electLeader();
  Net->Wire.run(20s);
  CHECK(Net->Sessions->size() == Net->Nodes.size());
}

TEST_CASE("The revision that a node serves never decreases") {
  // Guarantee G1: the revision that a node name serves never decreases, also
  // across restarts of the node. Covers re-parenting, lost connections, delayed
  // and duplicated messages, and leader changes.
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    CAPTURE(Seed);
    std::map<NodeName, Revision> Served;
    std::size_t Violations = 0;
    MeshOptions Options;
    Options.NodesPerZone = 8;
    auto Check = [&](const Process &Node) {
      if (!Node.IsRunning || !Node.Guard->mayServe())
        return;
      Revision &Highest = Served[Node.Self.Node];
      Violations += Node.State.inForce() < Highest ? 1 : 0;
      Highest = std::max(Highest, Node.State.inForce());
    };
    Options.OnChanged = Check;
    auto Net = makeMesh(Seed, Options);
    Net->Wire.MaxExtraLatency = 400ms;
    Net->Wire.DuplicatePercent = 20;
    RandomFunction Random = seededRandom(Seed);
    std::uint64_t Number = 1;
    for (int Step = 0; Step < 150; ++Step) {
      const std::size_t Index = Random() % Net->Nodes.size();
      const std::string Address = Net->Nodes[Index]->Self.PeerAddress.str();
      switch (Random() % 6) {
      case 0:
      case 1:
        Net->change(makeChange(Number + 1), Revision(Number + 1));
        ++Number;
        break;
      case 2:
        Net->startNode(Index);
        break;
      case 3:
        Net->Wire.Disconnected.insert(Address);
        break;
      case 4:
        Net->Wire.Disconnected.clear();
        break;
      default:
        if (Random() % 4 == 0)
          Net->electLeader();
      }
      for (std::uint64_t Left = Random() % 12; Left > 0; --Left) {
        Net->Wire.run(50ms);
        for (const auto &Node : Net->Nodes)
          Check(*Node);
      }
    }
    CHECK(Violations == 0);
    Net->Wire.Disconnected.clear();
    Net->Wire.MaxExtraLatency = 0ms;
    Net->Wire.DuplicatePercent = 0;
    Net->Wire.run(30s);
    CHECK(Net->converged());
    CHECK(Net->Sessions->size() == Net->Nodes.size());
    for (const auto &Node : Net->Nodes)
      CHECK(Node->Guard->mayServe());
  }
}

TEST_CASE("Every node knows of a leaving upstream within 2 s") {
  MeshOptions Options;
  Options.NodesPerZone = 30;
  auto Net = makeMesh(8, Options);
  for (std::size_t Index : {0, 17, 45, 89}) {
    Member Leaving = Net->Nodes[Index]->Self;
    Leaving.Leaving = true;
    Net->Nodes[Index]->Client->announce(Leaving, Net->Wire.Now);
    auto Shown = [&] {
      for (const auto &Node : Net->Nodes) {
        const Json *Value = Node->State.Members.find(memberKey(Leaving.Node));
        if (!Value || !boolAt(*Value, "l"))
          return false;
      }
      return true;
    };
    auto Elapsed = Net->runUntil(Shown, 2s);
    REQUIRE(Elapsed.has_value());
    MESSAGE("leaving known after " << Elapsed->count() << " us");
  }
}

TEST_CASE("The session of a node that leaves ends at once and its name can be "
          "reused") {
  auto Net = makeMesh(9);
  Net->Nodes[3]->Client->leave(Net->Wire.Now);
  Net->Wire.run(100ms);
  CHECK(Net->Sessions->size() == Net->Nodes.size() - 1);
  Net->stopNode(3);
  Net->startNode(3);
  Net->Wire.run(5s);
  CHECK(Net->Sessions->size() == Net->Nodes.size());
  CHECK(Net->Sessions->departed().size() == 1);
}

TEST_CASE("Observations reach the leader from every node") {
  auto Net = makeMesh(10);
  for (std::size_t Index = 0; Index < Net->Nodes.size(); ++Index)
    Net->Nodes[Index]->Client->observe(Json{{"calls", Index}});
  Net->Wire.run(3s);
  std::map<NodeName, Json> Latest;
  for (const ReporterCounters &Node : Net->Reports)
    Latest[Node.Reporter] = Node.Counters;
  CHECK(Latest.size() == Net->Nodes.size());
}
