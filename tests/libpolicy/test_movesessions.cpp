#include "scenarios.h"
#include "seedruns.h"
#include "waldbound.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace amaranthward;

namespace {

std::string sessionText(const Scenario &Of) {
  std::string Text;
  runSession(Of, Policy::Paced, 1,
             [&Text](const std::string &Line) { Text += Line + "\n"; });
  return Text;
}

/// AMARANTHWARD_UPDATE_GOLDEN=1 writes the file instead of comparing it.
void checkGolden(const std::string &Name, const Scenario &Of) {
  std::string Path = std::string(AMARANTHWARD_SOURCE_DIR) +
                     "/tests/golden/policy/" + Name + ".golden";
  std::string Text = sessionText(Of);
  if (std::getenv("AMARANTHWARD_UPDATE_GOLDEN")) {
    std::ofstream(Path) << Text;
    return;
  }
  std::ifstream File(Path);
  std::stringstream Expected;
  Expected << File.rdbuf();
  CHECK(Text == Expected.str());
}

} // namespace

TEST_CASE("Whole sessions match their golden files") {
  // Guards against any unintended change in pace, evidence or endings.
  checkGolden("move_done", smallScenario());
  checkGolden("move_taken_back", badScenario(0.2));
  Scenario Reversed = smallScenario();
  Reversed.Retargets = {
      {std::chrono::seconds(22), Share::none(), std::chrono::seconds(30)},
      {std::chrono::seconds(24), Share::all(), std::chrono::seconds(45)}};
  checkGolden("move_reversed_twice", Reversed);
}

TEST_CASE("The same seed gives the same session") {
  // Guards against a benchmark that cannot be repeated.
  CHECK(sessionText(badScenario(0.05)) == sessionText(badScenario(0.05)));
}

TEST_CASE("Good moves are done on time, also while both are disturbed") {
  // Guards against false rollbacks; bench_policy runs 1,000 seeds.
  for (bool IsDisturbed : {false, true}) {
    SeedRuns Runs(smallScenario(), Policy::Paced, 40,
                  IsDisturbed
                      ? disturbBoth
                      : std::function<void(Scenario &, std::uint64_t)>());
    CHECK(Runs.perThousand(endedDoneOnTime) == 1000);
    CHECK(Runs.perThousand(endedOnce) == 1000);
  }
}

TEST_CASE("A version that is bad from the start meets few calls") {
  // Guards against detection slower than twice Wald's bound.
  for (double Failures : {1.0, 0.2}) {
    Scenario Of = badScenario(Failures);
    SeedRuns Runs(Of, Policy::Paced, 40);
    CHECK(Runs.perThousand([](const SessionResult &One) {
      return One.isConvicted();
    }) == 1000);
    CHECK(Runs.mean([](const SessionResult &One) {
      return static_cast<double>(One.BadBefore);
    }) <= 2 * waldBoundOf(Of) + 2);
    CHECK(Runs.mean([](const SessionResult &One) {
      return static_cast<double>(One.CandidateCalls) /
             static_cast<double>(One.AllCalls);
    }) <= 0.01);
  }
}

TEST_CASE("A version that turns bad after the move is reverted within 2 s") {
  // Guards against a watch that ends with the move.
  Scenario Of = badScenario(0.3);
  Of.Bad->AfterDone = std::chrono::seconds(5);
  SeedRuns Runs(Of, Policy::Paced, 3);
  for (const SessionResult &One : Runs.results()) {
    CHECK(One.Reverted);
    CHECK(endedOnce(One));
    CHECK(One.FromEvidence <= std::chrono::seconds(2));
  }
}

TEST_CASE("A node cut off from control protects itself") {
  // Guards against a reduction that depends on the leader.
  Scenario Of = badScenario(0.3);
  Of.Bad->From = std::chrono::seconds(32);
  Of.Cut = CutOff{0, std::chrono::seconds(31), std::chrono::seconds(90)};
  SeedRuns Runs(Of, Policy::Paced, 3);
  for (const SessionResult &One : Runs.results())
    CHECK(One.CutNodeReduced <= std::chrono::seconds(2));
}
