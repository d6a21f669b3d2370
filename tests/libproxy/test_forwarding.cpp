#include "libproxy/meshfixture.h"

using namespace amaranthward;

TEST_CASE("a call travels through entry and gate to the upstream and back") {
  MeshFixture Mesh;
  HttpRequestHead Seen;
  std::string Body;
  Mesh.addGate("v1", [&](std::shared_ptr<ServerExchange> Exchange) {
    Seen = Exchange->request();
    readBody(Exchange, 1000, [&](auto Done, std::string Text) {
      Body = Text;
      HttpHeaders Extra;
      Extra.add("X-Kind", "test");
      respond(*Done, 201, "text/plain", "made", Extra);
    });
  });
  Mesh.start();
  HttpHeaders Headers;
  Headers.add("X-Order-Id", "5");
  Headers.add("Connection", "X-Private");
  Headers.add("X-Private", "hop");
  Headers.add("Amaranth-Outcome", "forged");
  auto Answer = Mesh.callAndWait("POST", "/order/new?a=b", "three", Headers);
  CHECK(Answer->Status == 201);
  CHECK(Answer->Body == "made");
  CHECK(Answer->Outcome == "answered");
  CHECK(Body == "three");
  CHECK(Seen.Target == "/order/new?a=b");
  CHECK(Seen.Headers.get("X-Order-Id") == "5");
  CHECK_FALSE(Seen.Headers.has("X-Private"));
  CHECK_FALSE(Seen.Headers.has("Amaranth-Outcome"));
  CHECK_FALSE(Seen.Headers.has(header::RequestId));
  CHECK(Mesh.Reports.size() == 1);
  CHECK(Mesh.Reports[0].Ok);
}
