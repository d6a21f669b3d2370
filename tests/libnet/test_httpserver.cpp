#include "libnet/netfixture.h"

using namespace amaranthward;

namespace {

void echo(std::shared_ptr<ServerExchange> Exchange) {
  readBody(Exchange, 1 << 20, [](auto Done, std::string Body) {
    respond(*Done, 200, "text/plain",
            Done->request().Method + " " + Done->request().Target + " " + Body);
  });
}

} // namespace

TEST_CASE("a call returns the whole response and reuses the connection") {
  NetFixture Net;
  Net.serve(echo);
  for (int Round = 0; Round < 3; ++Round) {
    std::string Body;
    bool Done = false;
    HttpRequestHead Head;
    Head.Method = "POST";
    Head.Target = "/a?b=c";
    Net.Client->call(Net.Server->address(), Head, "hello",
                     std::chrono::seconds(5), 1000,
                     [&](Result<HttpResponse> Response) {
                       Done = true;
                       REQUIRE(Response);
                       Body = Response->Body;
                     });
    REQUIRE(Net.runUntil([&] { return Done; }));
    CHECK(Body == "POST /a?b=c hello");
    CHECK(Net.Client->openConnections(Net.Server->address()) == 1);
  }
}
