#include "libconfig/routetable.h"

#include "libcore/units.h"
#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace amaranthward;

namespace {

/// Texts without meaning for the table, among them some that other software
/// decodes or normalizes.
constexpr std::array<const char *, 12> Segments = {
    "a", "b", "ab", "A", "", ".", "..", "%2f", "%61", "a%20b", "a.b", ";v=1"};
constexpr std::array<const char *, 3> Hosts = {"a.example", "b.example",
                                               "a.example.org"};

/// Random routes and paths over a small alphabet, so that many of them match.
class RandomRoutes {
public:
  explicit RandomRoutes(std::uint64_t Seed) : Random(seededRandom(Seed)) {}

  std::uint64_t below(std::uint64_t Limit) { return this->Random() % Limit; }

  /// A path of up to \a MaxDepth segments, with a slash at its end or not.
  std::string path(std::uint64_t MaxDepth) {
    std::string Path;
    std::uint64_t Depth = this->below(MaxDepth + 1);
    for (std::uint64_t Level = 0; Level < Depth; ++Level)
      Path += std::string("/") + Segments[this->below(Segments.size())];
    return Path.empty() || this->below(2) == 0 ? Path + '/' : Path;
  }
  std::string prefix() {
    std::string Path = this->path(3);
    return Path.back() == '/' ? Path : Path + '/';
  }
  std::string host() { return Hosts[this->below(Hosts.size())]; }

private:
  RandomFunction Random;
};

RouteSpec route(const std::string &Name, const std::string &Host,
                const std::string &Prefix) {
  RouteSpec Made;
  Made.Name = RouteName(Name);
  Made.Host = Host;
  Made.PathPrefix = Prefix;
  return Made;
}

using Routes = std::vector<std::unique_ptr<RouteSpec>>;

/// The rule: of the host's routes, the one with the longest prefix that begins
/// the path, byte by byte.
const RouteSpec *longestPrefix(const Routes &All, const std::string &Host,
                               const std::string &Path) {
  const RouteSpec *Best = nullptr;
  for (const auto &Each : All)
    if (Each->Host == Host && Path.starts_with(Each->PathPrefix) &&
        (Best == nullptr || Each->PathPrefix.size() > Best->PathPrefix.size()))
      Best = Each.get();
  return Best;
}

bool contains(const Routes &All, const std::string &Host,
              const std::string &Prefix) {
  for (const auto &Each : All)
    if (Each->Host == Host && Each->PathPrefix == Prefix)
      return true;
  return false;
}

} // namespace

TEST_CASE("A prefix that ends with a slash takes only paths that it begins") {
  // Guards against a request for /parts/photos that the added route
  // /parts/photos/ of another service took, and against one for /media that
  // was served although no route matches.
  RouteSpec Parts = route("parts", "a.example", "/parts/");
  RouteSpec Photos = route("photos", "a.example", "/parts/photos/");
  RouteTable Table;
  Table.add(Parts);
  Table.add(Photos);
  CHECK(Table.match("GET", "a.example", "/parts/photos") == &Parts);
  CHECK(Table.match("GET", "a.example", "/parts/photos/") == &Photos);
  CHECK(Table.match("GET", "a.example", "/parts/photos/1") == &Photos);
  CHECK(Table.match("GET", "a.example", "/parts/photoshop") == &Parts);
  CHECK(Table.match("GET", "a.example", "/parts") == nullptr);
  CHECK(Table.match("GET", "a.example", "/parts/") == &Parts);
  CHECK(Table.match("GET", "a.example", "//parts/") == nullptr);
}

TEST_CASE("A prefix without a slash at its end takes whole segments") {
  // Guards against a change of the rule for the sets that operators write in
  // YAML, whose prefixes have no slash at their end.
  RouteSpec Orders = route("orders", "", "/orders");
  RouteSpec Below = route("below", "", "/orders/");
  RouteTable Table;
  Table.add(Orders);
  CHECK(Table.match("GET", "any", "/orders") == &Orders);
  CHECK(Table.match("GET", "any", "/orders/") == &Orders);
  CHECK(Table.match("GET", "any", "/orders/17") == &Orders);
  CHECK(Table.match("GET", "any", "/orders-archive") == nullptr);
  Table.add(Below);
  CHECK(Table.match("GET", "any", "/orders") == &Orders);
  CHECK(Table.match("GET", "any", "/orders/") == &Below);
  CHECK(Table.match("GET", "any", "/orders/17") == &Below);
  Table.remove(Below);
  CHECK(Table.match("GET", "any", "/orders/17") == &Orders);
}

TEST_CASE("A route of a host takes no calls for another host") {
  // Guards against a route whose host counts as none, which matches every
  // host, and against hosts that differ only in case or port.
  RouteSpec OneHost = route("one", "a.example", "/p/");
  RouteTable Table;
  Table.add(OneHost);
  CHECK(Table.match("GET", "A.Example:8080", "/p/1") == &OneHost);
  CHECK(Table.match("GET", "b.example", "/p/1") == nullptr);
  CHECK(Table.match("GET", "", "/p/1") == nullptr);
  CHECK(Table.match("GET", ":8080", "/p/1") == nullptr);
  RouteSpec AnyHost = route("any", "", "/p/q/");
  Table.add(AnyHost);
  CHECK(Table.match("GET", "b.example", "/p/q/1") == &AnyHost);
  CHECK(Table.match("GET", "a.example", "/p/q/1") == &OneHost);
}

TEST_CASE("Random tables agree with the rule of the longest prefix") {
  // Guards against a table that drifts from the rule, also after routes were
  // added and removed in any order.
  std::uint64_t Draws = 0;
  std::uint64_t Matched = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    RandomRoutes Draw(Seed);
    RouteTable Table;
    Routes All;
    for (int Change = 0; Change < 30; ++Change) {
      if (!All.empty() && Draw.below(3) == 0) {
        auto Removed =
            All.begin() + static_cast<std::ptrdiff_t>(Draw.below(All.size()));
        Table.remove(**Removed);
        All.erase(Removed);
      } else if (std::string Host = Draw.host(), Prefix = Draw.prefix();
                 !contains(All, Host, Prefix)) {
        All.push_back(std::make_unique<RouteSpec>(
            route("r" + std::to_string(Change), Host, Prefix)));
        Table.add(*All.back());
      }
      for (int Call = 0; Call < 10; ++Call) {
        std::string Path = Draw.path(5);
        std::string Host = Draw.host();
        const RouteSpec *Wanted = longestPrefix(All, Host, Path);
        const RouteSpec *Found = Table.match("GET", Host, Path);
        ++Draws;
        Matched += Wanted != nullptr ? 1 : 0;
        if (Found == Wanted)
          continue;
        CAPTURE(Seed);
        CAPTURE(Host);
        CAPTURE(Path);
        std::string WantedPrefix = Wanted ? Wanted->PathPrefix : "none";
        std::string FoundPrefix = Found ? Found->PathPrefix : "none";
        REQUIRE(FoundPrefix == WantedPrefix);
      }
    }
  }
  MESSAGE(Draws, " paths, ", Matched, " of them with a route");
  CHECK(Draws >= 100000);
  CHECK(Matched > Draws / 10);
}
