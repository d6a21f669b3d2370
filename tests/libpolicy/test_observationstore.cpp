#include "libpolicy/observationstore.h"

#include "traffic.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const ServiceName Service("orders");

Observation observation(std::uint64_t Node, std::uint64_t Process,
                        std::uint64_t Calls) {
  Observation Report;
  Report.Reporter = NodeName("node" + std::to_string(Node));
  Report.Process = Incarnation(Process);
  Report.Service = Service;
  Report.Version = VersionName("v2");
  Report.Route = RouteName("search");
  Report.Counters.Calls = Calls;
  Report.Counters.Failures = Calls / 10;
  Report.Counters.Latency.add(std::chrono::milliseconds(6), Calls - Calls / 10);
  return Report;
}

std::uint64_t callsIn(const ObservationStore &Store) {
  std::uint64_t Calls = 0;
  for (const auto &[Key, Counters] : Store.sums(Service))
    Calls += Counters.Calls;
  return Calls;
}

} // namespace

TEST_CASE("Lost, late, duplicated and reordered reports change no sum") {
  // Guards against calls that are counted twice or lost.
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    SeededNumbers Numbers(Seed);
    std::vector<Observation> Sent;
    for (std::uint64_t Node = 0; Node < 3; ++Node)
      for (std::uint64_t Process = 1; Process <= 2; ++Process)
        for (std::uint64_t ReportNumber = 1; ReportNumber <= 10; ++ReportNumber)
          Sent.push_back(observation(Node, Process, ReportNumber * (Node + 7)));
    std::vector<Observation> Received;
    for (const Observation &Report : Sent) {
      bool IsLast = Report.Counters.Calls % 10 == 0;
      if (IsLast || Numbers.chance(0.7))
        Received.push_back(Report);
      if (Numbers.chance(0.3))
        Received.push_back(Report);
    }
    for (std::size_t Index = Received.size(); Index > 1; --Index)
      std::swap(Received[Index - 1], Received[Numbers.next() % Index]);
    auto Store = *ObservationStore::create({});
    for (const Observation &Report : Received)
      REQUIRE(Store.record(Report).has_value());
    CHECK(callsIn(Store) == 2 * 10 * (7 + 8 + 9));
    const CallCounters &Total = Store.sums(Service).begin()->second;
    CHECK(Total.Failures == 2 * (7 + 8 + 9));
    CHECK(Total.Latency.total() == Total.Calls - Total.Failures);
  }
}

TEST_CASE(
    "The store stays within its limits and rejects retired incarnations") {
  // Guards against unbounded growth when reporters restart often or send
  // arbitrary names.
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

TEST_CASE("An observation is unchanged after conversion to JSON and back; "
          "inconsistent ones are rejected") {
  // Guards against inconsistent counters from a peer, and against reports that
  // grow beyond 120 bytes per entry.
  Observation Report = observation(1, 77, 100);
  CHECK(Observation::fromJson(Observation::toJson(Report)) == Report);
  Json Value = Observation::toJson(Report);
  Value["f"] = 101;
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  Value = Observation::toJson(Report);
  Value["c"] = 50;
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  Value.erase("n");
  CHECK_FALSE(Observation::fromJson(Value).has_value());
  CHECK_FALSE(Observation::fromJson(Json::array()).has_value());
  CHECK(dumpJson(Observation::toJson(Report)).size() < 120);
}
