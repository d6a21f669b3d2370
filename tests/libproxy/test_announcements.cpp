#include "libproxy/meshfixture.h"

using namespace amaranthward;

namespace {

UpstreamAnnouncement startedAt(const GateNode &Node, std::uint64_t Start) {
  UpstreamAnnouncement Announcement;
  Announcement.Service = ServiceName("shop");
  Announcement.Version = Node.Version;
  Announcement.Address = Node.Upstream->address();
  Announcement.Slots = Announcement.Connections = 9;
  Announcement.Instance = InstanceId("i-1");
  Announcement.StartedAt = Start;
  Announcement.Sequence = 1;
  return Announcement;
}

/// A mesh with one gate, whose upstream takes \a Bound calls per second while
/// it is cold.
struct ColdMesh : MeshFixture {
  explicit ColdMesh(int Bound = 16)
      : Node(this->addGateWith(Bound)), CreatedAt(this->Loop->now()) {
    this->start();
  }

  GateNode &Node;
  /// When the gate was created.
  Instant CreatedAt;

private:
  GateNode &addGateWith(int Bound) {
    this->Configuration.Set.Services[0].Limits.ColdCallsPerSecond = Bound;
    return this->addGate("v1", answering("ok"));
  }
};

/// An upstream that is cold for longer than a test takes.
UpstreamAnnouncement coldStart(const GateNode &Node, std::uint64_t Start) {
  UpstreamAnnouncement Announcement = startedAt(Node, Start);
  Announcement.ColdFor = std::chrono::seconds(30);
  return Announcement;
}

} // namespace

TEST_CASE("A cold upstream takes calls at once after its first announcement") {
  // Guards against a second without service after a restart of all processes:
  // the gate waited although no other process can have sent calls to this
  // start.
  ColdMesh Mesh;
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  Instant Asked = Mesh.Loop->now();
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Asked < std::chrono::milliseconds(500));
}

TEST_CASE("A gate that missed the first announcement waits for a second") {
  // Guards against twice the call rate limit of a cold upstream in one second
  // when the gate beside it restarts.
  ColdMesh Mesh;
  UpstreamAnnouncement Later = coldStart(Mesh.Node, 1000);
  Later.Sequence = 2;
  Mesh.Node.Gate->announce(Later);
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Mesh.CreatedAt > std::chrono::milliseconds(900));
}

TEST_CASE("Calls to an earlier start count against a new start of the same "
          "instance") {
  // Guards against twice the call rate limit when an upstream crashes and
  // restarts cold while calls to it are in transit.
  constexpr int Bound = 4;
  ColdMesh Mesh(Bound);
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  for (int I = 0; I < Bound; ++I)
    CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  Instant Last = Mesh.Loop->now();
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 2000));
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Last > std::chrono::milliseconds(900));
}

TEST_CASE(
    "Limits that arrive late do not block a cold upstream for another second") {
  // Guards against a second without service after a restart of all processes:
  // the gate sent no calls to the upstream before it had the limits.
  ColdMesh Mesh;
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  Mesh.runUntil([] { return false; }, std::chrono::milliseconds(1050));
  Mesh.Configuration.Set.Services[0].Limits.Slots = 8;
  Mesh.updateGates();
  Instant Asked = Mesh.Loop->now();
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Asked < std::chrono::milliseconds(500));
}

TEST_CASE("Earlier calls to a cold upstream count after its limits change") {
  // Guards against twice the call rate limit in one second around a change of
  // the limits.
  constexpr int Bound = 4;
  ColdMesh Mesh(Bound);
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  Mesh.runUntil([] { return false; }, std::chrono::milliseconds(1050));
  for (int I = 0; I < Bound; ++I)
    CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  Instant First = Mesh.Loop->now();
  Mesh.Configuration.Set.Services[0].Limits.Slots = 8;
  Mesh.updateGates();
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - First > std::chrono::milliseconds(900));
}

TEST_CASE("Deregistering an earlier start does not affect the current one") {
  // Guards against a deregistration delayed by a network partition: the
  // instance has restarted in the meantime and would get no more calls.
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("ok"));
  Mesh.start();
  Node.Gate->announce(startedAt(Node, 1000));
  Node.Gate->announce(startedAt(Node, 2000));
  Node.Gate->deregister({InstanceId("i-1"), 1000});
  REQUIRE(Node.Gate->upstream().has_value());
  CHECK_FALSE(Node.Gate->upstream()->Leaving);
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);

  Node.Gate->deregister({InstanceId("i-1"), 2000});
  CHECK(Node.Gate->upstream()->Leaving);
  Node.Gate->announce(startedAt(Node, 2000));
  CHECK(Node.Gate->upstream()->Leaving);
}
