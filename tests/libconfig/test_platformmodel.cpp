#include "libconfig/routingview.h"

#include "libconfig/configurationcheck.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/resources.h"
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

RouteSpec route(const std::string &Name, const std::string &Host,
                const std::string &Prefix) {
  RouteSpec Made;
  Made.Name = RouteName(Name);
  Made.Host = Host;
  Made.PathPrefix = Prefix;
  Made.Service = ServiceName("shop");
  return Made;
}

ConfigurationSet sample() {
  ConfigurationSet Set;
  Set.Version = OperatorVersion(3);
  Set.Base = OperatorVersion(2);
  Set.Source = "as sent";
  ServiceSpec Shop;
  Shop.Name = ServiceName("shop");
  Shop.Limits.ColdCallsPerSecond = 16.5;
  Set.Services.push_back(Shop);
  Set.Routes = {route("short", "a.example", "/x/"),
                route("long", "a.example", "/x/y/"),
                route("other", "b.example", "/x/")};
  Set.Routes[1].Parts = {{ServiceName("shop"), 0.5}};
  Set.Routes[1].Objective = 300ms;
  Set.Routes[1].Attempts = 2;
  Set.Routes[1].Priority = 1;
  Set.Limits.IdleTimeout = 15s;
  return Set;
}

std::string matched(const RoutingView &View, const std::string &Host,
                    const std::string &Path) {
  const RouteSpec *Found = View.matchRoute("GET", Path, Host);
  return Found ? Found->Name.str() : "";
}

} // namespace

TEST_CASE("The host selects the routes and the longest prefix among them") {
  auto View = RoutingView::create(resourcesOf(sample()));
  REQUIRE(View.has_value());
  CHECK(matched(*View, "a.example", "/x/1") == "short");
  CHECK(matched(*View, "A.Example:80", "/x/y/1") == "long");
  CHECK(matched(*View, "b.example", "/x/y/1") == "other");
  CHECK(matched(*View, "c.example", "/x/1") == "");
  CHECK(matched(*View, "a.example", "/z") == "");
}

TEST_CASE("All fields of a set survive the codec") {
  // Guards against a field that is lost on its way to a replica.
  ConfigurationSet Set = sample();
  auto Back = configurationFromJson(*parseJson(dumpJson(toJson(Set))));
  REQUIRE(Back.has_value());
  CHECK(toJson(*Back) == toJson(Set));
  CHECK(Back->Source == "as sent");
  CHECK(Back->Base == OperatorVersion(2));
}

TEST_CASE("The digest covers what the set says and not how it was written") {
  ConfigurationSet Set = sample();
  std::string Digest = digestOf(Set);
  Set.Source = "written otherwise";
  CHECK(digestOf(Set) == Digest);
  Set.Base = OperatorVersion(1);
  CHECK(digestOf(Set) != Digest);
}

TEST_CASE("Without zones in the set only ordered ones are out of service") {
  ResourceMap Resources = resourcesOf(sample());
  Resources["zone-out/z"] = true;
  auto View = RoutingView::create(Resources);
  REQUIRE(View.has_value());
  CHECK(View->zoneInService(ZoneName("y")));
  CHECK_FALSE(View->zoneInService(ZoneName("z")));
}

TEST_CASE("Hosts that match alike are one host") {
  // Guards against a route whose host is a port only, which would match every
  // host, and against two routes for the same requests.
  ConfigurationSet Set = sample();
  REQUIRE(checkConfiguration(Set).empty());
  ConfigurationSet PortOnly = Set;
  PortOnly.Routes[0].Host = ":80";
  CHECK_FALSE(checkConfiguration(PortOnly).empty());
  for (const char *Host : {"A.example", "a.example:80", "a.EXAMPLE:8080"}) {
    ConfigurationSet Twice = Set;
    RouteSpec Copy = Set.Routes[0];
    Copy.Name = RouteName("copy");
    Twice.Routes[0].Host = "a.example";
    Copy.Host = Host;
    Twice.Routes.push_back(Copy);
    CHECK_FALSE(checkConfiguration(Twice).empty());
  }
}
