#include "libproxy/meshfixture.h"

using namespace amaranthward;

namespace {

UpstreamAnnouncement startedAt(const GateNode &Node, std::uint64_t Start) {
  UpstreamAnnouncement Said;
  Said.Service = ServiceName("shop");
  Said.Version = Node.Version;
  Said.Address = Node.Upstream->address();
  Said.Slots = Said.Connections = 9;
  Said.Instance = InstanceId("i-1");
  Said.StartedAt = Start;
  Said.Sequence = 1;
  return Said;
}

/// A mesh with one gate, whose upstream takes \a Bound calls a second when it
/// is cold.
struct ColdMesh : MeshFixture {
  explicit ColdMesh(int Bound = 16)
      : Node(this->addGateWith(Bound)), Made(this->Loop->now()) {
    this->start();
  }

  GateNode &Node;
  /// When the gate was made.
  Instant Made;

private:
  GateNode &addGateWith(int Bound) {
    this->Configuration.Set.Services[0].Limits.ColdCallsPerSecond = Bound;
    return this->addGate("v1", answering("ok"));
  }
};

/// An upstream that is cold for longer than a test takes.
UpstreamAnnouncement coldStart(const GateNode &Node, std::uint64_t Start) {
  UpstreamAnnouncement Said = startedAt(Node, Start);
  Said.ColdFor = std::chrono::seconds(30);
  return Said;
}

} // namespace

TEST_CASE("The first word of a cold upstream opens it at once") {
  // Guards against a second without service after a restart of everything: no
  // earlier process can have sent calls to a start that nobody knew.
  ColdMesh Mesh;
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  Instant Asked = Mesh.Loop->now();
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Asked < std::chrono::milliseconds(500));
}

TEST_CASE("A cold upstream that was known before waits for a second") {
  // Guards against twice the bound of a cold upstream in one second when the
  // gate beside it restarts.
  ColdMesh Mesh;
  UpstreamAnnouncement Later = coldStart(Mesh.Node, 1000);
  Later.Sequence = 2;
  Mesh.Node.Gate->announce(Later);
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Mesh.Made > std::chrono::milliseconds(900));
}

TEST_CASE("A start that goes on under the same name keeps its calls") {
  // Guards against twice the bound when an upstream crashes and starts again
  // cold while calls for its name are on their way.
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

TEST_CASE("Late limits do not hold a cold upstream up for another second") {
  // Guards against a second without service after a restart of everything: the
  // gate has sent nothing to the upstream while it waited for its limits.
  ColdMesh Mesh;
  Mesh.Node.Gate->announce(coldStart(Mesh.Node, 1000));
  Mesh.runUntil([] { return false; }, std::chrono::milliseconds(1050));
  Mesh.Configuration.Set.Services[0].Limits.Slots = 8;
  Mesh.updateGates();
  Instant Asked = Mesh.Loop->now();
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  CHECK(Mesh.Loop->now() - Asked < std::chrono::milliseconds(500));
}

TEST_CASE("Calls that a cold upstream got count when its limits change") {
  // Guards against twice the bound in one second around a change of limits.
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

TEST_CASE("The end of an earlier start does not end the present one") {
  // Guards against a deregistration that a partition held up: the upstream
  // has started again under the same name and would get no more calls.
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
