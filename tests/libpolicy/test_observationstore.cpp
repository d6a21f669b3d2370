#include "libpolicy/observationstore.h"

#include "traffic.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const ServiceName Service("orders");

Observation observation(std::uint64_t Node, std::uint64_t Process,
                        std::uint64_t Calls) {
  Observation One;
  One.Reporter = NodeName("node" + std::to_string(Node));
  One.Process = Incarnation(Process);
  One.Service = Service;
  One.Version = VersionName("v2");
  One.Route = RouteName("search");
  One.Counters.Calls = Calls;
  One.Counters.Failures = Calls / 10;
  One.Counters.Latency.add(std::chrono::milliseconds(6), Calls - Calls / 10);
  return One;
}

std::uint64_t callsIn(const ObservationStore &Store) {
  std::uint64_t Calls = 0;
  for (const auto &[Key, Counters] : Store.sums(Service))
    Calls += Counters.Calls;
  return Calls;
}

} // namespace

TEST_CASE("Lost, late, duplicated and reordered reports change no sum") {
  // Guards against evidence that counts calls twice or loses them.
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    SeededNumbers Numbers(Seed);
    std::vector<Observation> Sent;
    for (std::uint64_t Node = 0; Node < 3; ++Node)
      for (std::uint64_t Process = 1; Process <= 2; ++Process)
        for (std::uint64_t Report = 1; Report <= 10; ++Report)
          Sent.push_back(observation(Node, Process, Report * (Node + 7)));
    std::vector<Observation> Arriving;
    for (const Observation &One : Sent) {
      bool IsLast = One.Counters.Calls % 10 == 0;
      if (IsLast || Numbers.chance(0.7))
        Arriving.push_back(One);
      if (Numbers.chance(0.3))
        Arriving.push_back(One);
    }
    for (std::size_t At = Arriving.size(); At > 1; --At)
      std::swap(Arriving[At - 1], Arriving[Numbers.next() % At]);
    auto Store = *ObservationStore::create({});
    for (const Observation &One : Arriving)
      REQUIRE(Store.record(One).has_value());
    CHECK(callsIn(Store) == 2 * 10 * (7 + 8 + 9));
    const CallCounters &Sum = Store.sums(Service).begin()->second;
    CHECK(Sum.Failures == 2 * (7 + 8 + 9));
    CHECK(Sum.Latency.total() == Sum.Calls - Sum.Failures);
  }
}

TEST_CASE("The store stays within its bounds") {
  // Guards against growth without bound when reporters restart or invent names.
  auto Store = *ObservationStore::create({6, 2});
  for (std::uint64_t Process = 1; Process <= 40; ++Process)
    REQUIRE(Store.record(observation(0, Process, 10)).has_value());
  CHECK(Store.entries() == 2);
  CHECK(callsIn(Store) == 400);
  auto Retired = Store.record(observation(0, 1, 20));
  REQUIRE_FALSE(Retired.has_value());
  CHECK((Retired.error().Code == ErrorCode::Stale));
  for (std::uint64_t Node = 1; Node <= 4; ++Node)
    REQUIRE(Store.record(observation(Node, 1, 10)).has_value());
  auto Refused = Store.record(observation(9, 1, 10));
  REQUIRE_FALSE(Refused.has_value());
  CHECK((Refused.error().Code == ErrorCode::Exhausted));
  CHECK(Store.record(observation(4, 1, 30)).value());
  Store.forget(Service);
  CHECK(Store.entries() == 0);
  CHECK(Store.sums(Service).empty());
}

TEST_CASE("An observation survives its codec and bad ones are refused") {
  // Guards against a peer whose counters contradict each other.
  Observation One = observation(1, 77, 100);
  CHECK(Observation::fromJson(Observation::toJson(One)) == One);
  Json Value = Observation::toJson(One);
  Value["f"] = 101;
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  Value = Observation::toJson(One);
  Value["c"] = 50;
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  Value.erase("n");
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  CHECK_FALSE(Observation::fromJson(Json::array()).has_value());
  CHECK(dumpJson(Observation::toJson(One)).size() < 120);
}
