#include "libconfig/routingview.h"

#include "libconfig/configurationcheck.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/resources.h"
#include <doctest/doctest.h>
#include <functional>

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

TEST_CASE("The digest of a set that keeps its text is that of the text") {
  // Guards against two sets with the same decoded fields that count as one.
  ConfigurationSet Set = sample();
  std::string Digest = digestOf(Set);
  Set.Source = "written otherwise";
  CHECK(digestOf(Set) != Digest);
  Set.Source = "as sent";
  CHECK(digestOf(Set) == Digest);
}

TEST_CASE("The digest of a set without its text covers all fields") {
  // Guards against a set in YAML whose change counts as a resend.
  ConfigurationSet Set = sample();
  Set.Source.clear();
  const std::string Digest = digestOf(Set);
  using Change = std::function<void(ConfigurationSet &)>;
  const std::vector<Change> Changes = {
      [](auto &One) { One.Version = OperatorVersion(4); },
      [](auto &One) { One.Base = OperatorVersion(1); },
      [](auto &One) { One.Base.reset(); },
      [](auto &One) {
        One.Zones.push_back({ZoneName("z"), {}, true});
      },
      [](auto &One) { One.Services[0].Name = ServiceName("other"); },
      [](auto &One) { One.Services[0].Versions.emplace_back("v1"); },
      [](auto &One) { One.Services[0].Split[VersionName("v1")] = Share(1); },
      [](auto &One) {
        One.Services[0].Move = MoveSpec{std::nullopt, 1s, 60s};
      },
      [](auto &One) { One.Services[0].DependsOn.emplace_back("other"); },
      [](auto &One) { ++One.Services[0].Limits.Slots; },
      [](auto &One) { ++One.Services[0].Limits.Connections; },
      [](auto &One) { ++One.Services[0].Limits.Queue; },
      [](auto &One) { One.Services[0].Limits.WarmUp += 1s; },
      [](auto &One) { One.Services[0].Limits.ColdCallsPerSecond += 1; },
      [](auto &One) { One.Routes.pop_back(); },
      [](auto &One) { One.Routes[0].Name = RouteName("renamed"); },
      [](auto &One) { One.Routes[0].Host = "c.example"; },
      [](auto &One) { One.Routes[0].Method = "GET"; },
      [](auto &One) { One.Routes[0].PathPrefix = "/x"; },
      [](auto &One) { One.Routes[0].Service = ServiceName("other"); },
      [](auto &One) { One.Routes[1].Parts[0].Weight = 1; },
      [](auto &One) { One.Routes[0].Class = CallClass::Bulk; },
      [](auto &One) { One.Routes[0].Idempotent = false; },
      [](auto &One) { One.Routes[0].Timeout += 1s; },
      [](auto &One) { One.Routes[0].Objective += 1s; },
      [](auto &One) { ++One.Routes[0].Attempts; },
      [](auto &One) { ++One.Routes[0].Priority; },
      [](auto &One) { One.Limits.RetryBudget = Share(1); },
      [](auto &One) { One.Limits.IdempotencyRetention += 1s; },
      [](auto &One) { One.Limits.MaxHeaderBytes = 1; },
      [](auto &One) { One.Limits.MaxBodyBytes = 1; },
      [](auto &One) { One.Limits.HeaderTimeout = 1s; },
      [](auto &One) { One.Limits.IdleTimeout = 1s; }};
  for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
    CAPTURE(Index);
    ConfigurationSet Changed = Set;
    Changes[Index](Changed);
    CHECK(digestOf(Changed) != Digest);
  }
  CHECK(digestOf(Set) == Digest);
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
