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

} // namespace

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
