#include "libproxy/meshfixture.h"

#include <functional>

using namespace amaranthward;

namespace {

/// One gate whose settings name the service "shop", with its upstream. Service
/// "media" is in the configuration; nobody has service "nobody".
struct StrangerMesh : MeshFixture {
  StrangerMesh() : Node(this->addGateWithMedia()) {
    this->Node.Gate->setOwnUpstream(ServiceName("shop"),
                                    this->Node.Upstream->address());
    this->start();
    REQUIRE(this->Node.Gate->announce(this->real(5)).has_value());
  }

  /// Announcement number \a Sequence of the upstream.
  UpstreamAnnouncement real(std::uint64_t Sequence) const {
    UpstreamAnnouncement Announcement;
    Announcement.Service = ServiceName("shop");
    Announcement.Version = this->Node.Version;
    Announcement.Address = this->Node.Upstream->address();
    Announcement.Slots = Announcement.Connections = 9;
    Announcement.Instance = InstanceId("i-real");
    Announcement.StartedAt = 1000;
    Announcement.Sequence = Sequence;
    Announcement.ColdFor = Duration(0);
    return Announcement;
  }
  /// The same of another writer, whose service is not named anywhere.
  UpstreamAnnouncement stranger() const {
    UpstreamAnnouncement Announcement = this->real(6);
    Announcement.Service = ServiceName("nobody");
    Announcement.Instance = InstanceId("i-unknown");
    Announcement.StartedAt = 2000;
    return Announcement;
  }
  UpstreamAnnouncement media() const {
    UpstreamAnnouncement Announcement = this->stranger();
    Announcement.Service = ServiceName("media");
    return Announcement;
  }
  void run(Duration Time) {
    this->runUntil([] { return false; }, Time);
  }

  GateNode &Node;

private:
  GateNode &addGateWithMedia() {
    ServiceSpec Media;
    Media.Name = ServiceName("media");
    this->Configuration.Set.Services.push_back(Media);
    return this->addGate("v1", answering("ok"));
  }
};

/// Whether the gate still has the real upstream, serves calls with it and takes
/// its next announcement.
void checkRealUpstream(StrangerMesh &Mesh) {
  const auto &Current = Mesh.Node.Gate->upstream();
  REQUIRE(Current.has_value());
  CHECK(Current->Instance == InstanceId("i-real"));
  CHECK(Current->Service == ServiceName("shop"));
  CHECK(Current->Slots == 9);
  CHECK_FALSE(Current->Leaving);
  CHECK(Mesh.callAndWait("GET", "/browse")->Status == 200);
  UpstreamAnnouncement Next = Mesh.real(7);
  Next.Leaving = true;
  CHECK(Mesh.Node.Gate->announce(Next).has_value());
  CHECK(Mesh.Node.Gate->upstream()->Leaving);
}

} // namespace

TEST_CASE("An announcement of an unknown service changes nothing") {
  // Guards against one heartbeat of another writer that replaced the upstream:
  // its node then ignored the real one, and callers beside it were taken for
  // another service.
  using Change = std::function<void(UpstreamAnnouncement &)>;
  const std::vector<std::pair<const char *, Change>> Changes = {
      {"later start", [](auto &Said) { Said.StartedAt = 1ULL << 50; }},
      {"no start", [](auto &Said) { Said.StartedAt = 0; }},
      {"earlier start", [](auto &Said) { Said.StartedAt = 1; }},
      {"higher sequence", [](auto &Said) { Said.Sequence = 1ULL << 50; }},
      {"no sequence", [](auto &Said) { Said.Sequence = 0; }},
      {"other version", [](auto &Said) { Said.Version = VersionName("v9"); }},
      {"one slot", [](auto &Said) { Said.Slots = 1; }},
      {"huge slots", [](auto &Said) { Said.Slots = 100000; }},
      {"leaving", [](auto &Said) { Said.Leaving = true; }},
      {"cold", [](auto &Said) { Said.ColdFor = std::chrono::hours(1); }},
      {"not cold", [](auto &Said) { Said.ColdFor.reset(); }},
      {"other address",
       [](auto &Said) { Said.Address = Endpoint("127.0.0.1:9"); }},
      {"the real instance",
       [](auto &Said) { Said.Instance = InstanceId("i-real"); }},
      {"the real start",
       [](auto &Said) {
         Said.Instance = InstanceId("i-real");
         Said.StartedAt = 1000;
       }},
      {"no instance", [](auto &Said) { Said.Instance = InstanceId(); }}};
  for (const auto &One : Changes) {
    CAPTURE(std::string(One.first));
    StrangerMesh Mesh;
    UpstreamAnnouncement Said = Mesh.stranger();
    One.second(Said);
    // One that counts as outdated is ignored, any other refused.
    (void)Mesh.Node.Gate->announce(Said);
    checkRealUpstream(Mesh);
  }
}

TEST_CASE("An announcement that contradicts its own start is refused") {
  // Guards against a heartbeat that gives the real upstream another version or
  // number of slots, and replaces its admission control.
  for (int Field = 0; Field < 4; ++Field) {
    CAPTURE(Field);
    StrangerMesh Mesh;
    UpstreamAnnouncement Said = Mesh.real(6);
    if (Field == 0)
      Said.Version = VersionName("v2");
    else if (Field == 1)
      Said.Slots = 1;
    else if (Field == 2)
      Said.Service = ServiceName("media");
    else
      Said.Address = Endpoint("127.0.0.1:9");
    CHECK_FALSE(Mesh.Node.Gate->announce(Said).has_value());
    checkRealUpstream(Mesh);
  }
}

TEST_CASE("An unknown service is refused at a node without an upstream") {
  // Guards against a node that offers an upstream to the mesh which nobody
  // has, before or after its own one was there.
  MeshFixture Mesh;
  GateNode &Node = Mesh.addGate("v1", answering("ok"));
  UpstreamAnnouncement Said = *Node.Gate->upstream();
  Node.Gate->setOwnUpstream(ServiceName("shop"), Endpoint());
  Mesh.runUntil([&Node] { return !Node.Gate->upstream().has_value(); });
  REQUIRE_FALSE(Node.Gate->upstream().has_value());
  Said.Service = ServiceName("nobody");
  CHECK_FALSE(Node.Gate->announce(Said).has_value());
  CHECK_FALSE(Node.Gate->upstream().has_value());
  Said.Service = ServiceName("shop");
  CHECK(Node.Gate->announce(Said).has_value());
}

TEST_CASE("An address that goes to another service is used again") {
  // Guards against a node that shuts out a sound upstream of another service
  // after its own one has ended.
  StrangerMesh Mesh;
  Mesh.Node.Gate->announce(Mesh.real(6));
  CHECK_FALSE(Mesh.Node.Gate->announce(Mesh.media()).has_value());
  SUBCASE("the earlier upstream has deregistered") {
    Mesh.Node.Gate->deregister({InstanceId("i-real"), 1000});
  }
  SUBCASE("the earlier upstream drains") {
    UpstreamAnnouncement Leaving = Mesh.real(7);
    Leaving.Leaving = true;
    CHECK(Mesh.Node.Gate->announce(Leaving).has_value());
  }
  SUBCASE("the earlier upstream is silent") {
    Mesh.Loop->cancel(Mesh.Announcer);
    Mesh.run(std::chrono::milliseconds(3200));
  }
  CHECK(Mesh.Node.Gate->announce(Mesh.media()).has_value());
  REQUIRE(Mesh.Node.Gate->upstream().has_value());
  CHECK(Mesh.Node.Gate->upstream()->Service == ServiceName("media"));
  // A late heartbeat of the earlier upstream does not bring it back.
  (void)Mesh.Node.Gate->announce(Mesh.real(8));
  CHECK(Mesh.Node.Gate->upstream()->Service == ServiceName("media"));
}

TEST_CASE("A new service in the settings is taken at once") {
  // Guards against settings that change the service of a node, which would
  // then refuse its upstream.
  StrangerMesh Mesh;
  UpstreamAnnouncement Said = Mesh.stranger();
  CHECK_FALSE(Mesh.Node.Gate->announce(Said).has_value());
  Mesh.Node.Gate->setOwnUpstream(ServiceName("nobody"), Said.Address);
  CHECK(Mesh.Node.Gate->announce(Said).has_value());
  CHECK(Mesh.Node.Gate->upstream()->Service == ServiceName("nobody"));
}

TEST_CASE("The end of an instance that never announced itself has no effect") {
  // Guards against a deregistration of another writer that takes the real
  // upstream out of use.
  for (std::uint64_t StartedAt : {0, 999, 1000, 2000}) {
    StrangerMesh Mesh;
    Mesh.Node.Gate->deregister({InstanceId("i-unknown"), StartedAt});
    checkRealUpstream(Mesh);
  }
  StrangerMesh Mesh;
  Mesh.Node.Gate->deregister({InstanceId("i-real"), 999});
  checkRealUpstream(Mesh);
}
