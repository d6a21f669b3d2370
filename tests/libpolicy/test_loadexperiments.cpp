// Smaller versions of the checks of bench_policy. Most checks also run with a
// policy that must fail them, which shows that they detect the failure.
#include "gateexperiment.h"
#include "meshexperiment.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds[] = {11, 12, 13};

/// Result AboveAtStart of a gate experiment.
std::uint64_t aboveAtStart(const UpstreamModelSettings &Upstream,
                           GatePolicy Policy, std::uint64_t Seed) {
  GateExperiment Plan;
  Plan.Upstream = Upstream;
  Plan.Policy = Policy;
  Plan.Seed = Seed;
  return run(Plan).AboveAtStart;
}

} // namespace

TEST_CASE("A cold upstream is not overloaded during its warm-up") {
  // Guards against a ramp that trusts a declared warm-up time or a load report
  // that is wrong, or that expects a cold upstream to be slower.
  UpstreamModelSettings Accurate;
  UpstreamModelSettings Slow;
  Slow.WarmTime *= 2;
  Slow.WarmCalls *= 2;
  UpstreamModelSettings ColdWithoutSlowdown;
  ColdWithoutSlowdown.ColdSlowdown = 1;
  UpstreamModelSettings WrongReport;
  WrongReport.Report = LoadReport::AlwaysLow;
  for (const auto &Upstream :
       {Accurate, Slow, ColdWithoutSlowdown, WrongReport})
    for (std::uint64_t Seed : Seeds)
      CHECK(aboveAtStart(Upstream, GatePolicy::Admission, Seed) == 0);
  CHECK(aboveAtStart(Accurate, GatePolicy::NoRamp, 11) > 0);
  CHECK(aboveAtStart(Slow, GatePolicy::TimedRamp, 11) > 0);
}

TEST_CASE("The ramp ends at the full limit") {
  // Guards against a ramp that stops below the slots of a healthy upstream, and
  // against a warm upstream that is taken for a cold one.
  for (std::uint64_t Seed : Seeds) {
    GateExperiment Plan;
    Plan.Seed = Seed;
    GateFigures Figures = run(Plan);
    CHECK(Figures.FullAfter.has_value());
    CHECK(Figures.FalseDrops == 0);
  }
}

TEST_CASE("An upstream that becomes cold under load is detected") {
  // Guards against continued full load on an upstream whose caches were lost.
  for (std::uint64_t Seed : Seeds) {
    GateExperiment Plan;
    Plan.Seed = Seed;
    Plan.Length = 60s;
    Plan.TurnsCold = 40s;
    Plan.Cancellable = 0.8;
    GateFigures Figures = run(Plan);
    REQUIRE(Figures.DropAfter.has_value());
    CHECK(*Figures.DropAfter < 200ms);
    CHECK(Figures.AboveAfterDrop == 0);
    Plan.Policy = GatePolicy::TimedRamp;
    GateFigures Other = run(Plan);
    CHECK(Other.AboveBeforeDrop + Other.AboveAfterDrop > 100);
  }
}

TEST_CASE("No urgent call is lost when a zone leaves and returns") {
  // Guards against lost urgent calls, new work in a zone out of service, and
  // overload of its cold upstreams when it returns.
  MeshExperiment Plan;
  Plan.Upstreams = {1, 1, 1};
  Plan.Leaves = 42s;
  Plan.Returns = 47s;
  Plan.Length = 60s;
  for (std::uint64_t Seed : Seeds) {
    Plan.Seed = Seed;
    MeshFigures Figures = run(Plan);
    CHECK(Figures.Calls[0] > 500);
    CHECK(Figures.Lost[0] == 0);
    CHECK(Figures.NewWorkWhileOut == 0);
    CHECK(Figures.AboveAtStart == 0);
    CHECK(Figures.AboveAfterReturn == 0);
    CHECK(Figures.Falls == 0);
  }
  MeshExperiment Late = Plan;
  Late.Propagation = 5s;
  std::uint64_t NewWork = 0;
  for (Late.Seed = 11; Late.Seed <= 14; ++Late.Seed)
    NewWork += run(Late).NewWorkWhileOut;
  CHECK(NewWork > 0);
  Plan.Gate = GatePolicy::NoRamp;
  Plan.Upstream.StartsWarm = true;
  Plan.Choice = ChoicePolicy::RoundRobin;
  MeshFigures Other = run(Plan);
  CHECK(Other.AboveAfterReturn > 0);
  CHECK(Other.Falls > 0);
  CHECK(Other.Lost[0] > 0);
}

TEST_CASE("Retries stay within the budget while half of the upstreams refuse") {
  // Guards against retries that multiply the load during a failure.
  MeshExperiment Plan;
  Plan.HalfRefuse = 36s;
  Plan.Length = 46s;
  Plan.Rate = 80;
  for (std::uint64_t Seed : Seeds) {
    Plan.Seed = Seed;
    MeshFigures Figures = run(Plan);
    CHECK(static_cast<double>(Figures.Attempts) <=
          1.1 * static_cast<double>(Figures.AllCalls));
  }
  Plan.Retries = RetryPolicy::Unlimited;
  Plan.Choice = ChoicePolicy::RoundRobin;
  MeshFigures Other = run(Plan);
  CHECK(static_cast<double>(Other.Attempts) >
        1.1 * static_cast<double>(Other.AllCalls));
}
