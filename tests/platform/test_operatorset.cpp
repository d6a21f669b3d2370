#include "platform/operatorset.h"

#include "libconfig/configurationcheck.h"
#include "libcore/json.h"
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

const char *Valid = R"({"version":7,"baseVersion":5,
  "routes":{"columns":["name","host","pathPrefix","kind","timeout",
    "targetLatency","priority","service","attempts","trafficSplit"],
   "rows":[["order","a.example","/o/","non_idempotent","1200ms","400ms",1,
     "shop",2,null],
    ["look","a.example","/l/","idempotent","2.5s","300ms",2,null,2,
     [{"service":"shop","weight":90},{"service":"spare","weight":10}]]]},
  "services":{"columns":["name","healthCheckPath","maxConnections",
    "protocol","tls","coldStart","coldPerS"],
   "rows":[["shop","/health",130,"h1",false,"3s",21.0],
    ["spare","/health",130,"h1",false,"3s",21.0]]},
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
    "headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

std::string changed(const std::string &From, const std::string &To) {
  std::string Text = Valid;
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

bool isRefused(const std::string &Text) {
  auto Set = decodeOperatorSet(Text);
  return !Set || !checkConfiguration(*Set).empty();
}

} // namespace

TEST_CASE("A configuration of the platform is decoded field by field") {
  auto Set = decodeOperatorSet(Valid);
  REQUIRE(Set.has_value());
  CHECK(checkConfiguration(*Set).empty());
  CHECK(Set->Version == OperatorVersion(7));
  CHECK(Set->Base == OperatorVersion(5));
  CHECK(Set->Source == Valid);
  REQUIRE(Set->Routes.size() == 2);
  const RouteSpec &Order = Set->Routes[0];
  CHECK(Order.Host == "a.example");
  CHECK(Order.PathPrefix == "/o/");
  CHECK_FALSE(Order.Idempotent);
  CHECK(Order.Timeout == 1200ms);
  CHECK(Order.Objective == 400ms);
  CHECK(Order.Attempts == 2);
  CHECK(Order.Priority == 1);
  CHECK(Order.Parts.empty());
  const RouteSpec &Look = Set->Routes[1];
  CHECK(Look.Idempotent);
  CHECK(Look.Timeout == 2500ms);
  REQUIRE(Look.Parts.size() == 2);
  CHECK(Look.Parts[1].Service == ServiceName("spare"));
  CHECK(Look.Parts[1].Weight == 10);
  REQUIRE(Set->Services.size() == 2);
  CHECK(Set->Services[0].Versions.empty());
  CHECK(Set->Services[0].Limits.WarmUp == 3s);
  CHECK(Set->Services[0].Limits.ColdCallsPerSecond == 21.0);
  CHECK(Set->Limits.IdleTimeout == Duration(15s));
}

TEST_CASE("Invalid configurations are refused") {
  // Guards against a configuration in force that operators were told is wrong.
  CHECK(isRefused(std::string(Valid).substr(0, 300)));
  CHECK(isRefused(changed("\"shop\",2,null", "\"missing\",2,null")));
  CHECK(isRefused(changed("/o/", "o/")));
  CHECK(isRefused(changed("a.example", "")));
  CHECK(isRefused(changed("\"weight\":90", "\"weight\":-1")));
  CHECK(isRefused(changed("\"1200ms\"", "null")));
  CHECK(isRefused(changed("\"1200ms\"", "\"1200\"")));
  CHECK(isRefused(changed("non_idempotent", "sometimes")));
  CHECK(isRefused(changed("\"version\":7", "\"version\":\"7\"")));
  CHECK(isRefused(changed("/l/", "/o/")));
}
