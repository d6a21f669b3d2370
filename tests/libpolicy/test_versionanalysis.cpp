#include "libpolicy/versionanalysis.h"

#include "traffic.h"
#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(200);

/// Failure rates, latency factor of the candidate, and calls per step.
struct CallPattern {
  double BaselineFailures = 0.001;
  double CandidateFailures = 0.001;
  double CandidateLatencyFactor = 1;
  std::uint64_t BaselineCalls = 400;
  std::uint64_t CandidateCalls = 4;
};

/// Passes generated calls to one analysis, step by step.
class AnalysisFixture {
public:
  explicit AnalysisFixture(std::uint64_t Seed)
      : Analysis(*VersionAnalysis::create({Route})), Numbers(Seed),
        Latencies(std::chrono::milliseconds(6), 0.4) {}

  /// Runs \a Steps steps, or fewer when the verdict is Bad.
  AnalysisVerdict run(const CallPattern &Pattern, int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      RouteTotals &All = this->Totals[Route];
      this->count(All.Baseline, Pattern.BaselineCalls, Pattern.BaselineFailures,
                  1);
      this->count(All.Candidate, Pattern.CandidateCalls,
                  Pattern.CandidateFailures, Pattern.CandidateLatencyFactor);
      this->Now += StepTime;
      if (this->Analysis.step(this->Now, this->Totals).Kind == VerdictKind::Bad)
        break;
    }
    return this->Analysis.verdict();
  }

  static const RouteName Route;
  VersionAnalysis Analysis;
  std::map<RouteName, RouteTotals> Totals;
  Instant Now;

private:
  void count(CallCounters &Counters, std::uint64_t Calls, double Failures,
             double LatencyFactor) {
    for (std::uint64_t Call = 0; Call < Calls; ++Call) {
      auto Micros =
          static_cast<double>(this->Latencies.draw(this->Numbers).count());
      Counters.count(
          this->Numbers.chance(Failures),
          Duration(static_cast<Duration::rep>(Micros * LatencyFactor)));
    }
  }

  SeededNumbers Numbers;
  LatencySource Latencies;
};

const RouteName AnalysisFixture::Route("search");

} // namespace

TEST_CASE(
    "A failing or slow candidate is found bad, with its route and kind of "
    "fault") {
  // Guards against a bad version that is not detected.
  CallPattern Failing;
  Failing.CandidateFailures = 0.3;
  AnalysisVerdict Verdict = AnalysisFixture(1).run(Failing, 100);
  REQUIRE((Verdict.Kind == VerdictKind::Bad));
  CHECK((Verdict.Bad->Fault == FaultKind::Failures));
  CHECK(Verdict.Bad->Route == AnalysisFixture::Route);
  CHECK(Verdict.Bad->Calls < 60);
  CHECK(Verdict.Bad->CandidateRate > Verdict.Bad->BaselineRate);
  CallPattern Slow;
  Slow.CandidateLatencyFactor = 5;
  Verdict = AnalysisFixture(2).run(Slow, 100);
  REQUIRE((Verdict.Kind == VerdictKind::Bad));
  CHECK((Verdict.Bad->Fault == FaultKind::Slowness));
}

TEST_CASE("A good candidate stays good, also with a failing baseline") {
  // Guards against false alarms by chance and from a high failure rate that
  // both versions share.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CallPattern Good;
    Good.BaselineFailures = Good.CandidateFailures = Seed % 2 ? 0.001 : 0.1;
    Good.CandidateCalls = Seed % 3 ? 4 : 100;
    CHECK(
        (AnalysisFixture(Seed).run(Good, 150).Kind == VerdictKind::GoodSoFar));
  }
}

TEST_CASE("A disturbance of both versions gives no verdict") {
  // Guards against the rollback of a good version because of an outage, such as
  // that of a zone, that affects both versions.
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CallPattern Normal;
    Normal.CandidateCalls = Seed % 2 ? 8 : 200;
    AnalysisFixture Fixture(Seed);
    Fixture.run(Normal, 30);
    CallPattern Disturbed = Normal;
    Disturbed.BaselineFailures = Disturbed.CandidateFailures = 0.3;
    CHECK((Fixture.run(Disturbed, 20).Kind != VerdictKind::Bad));
    CHECK((Fixture.run(Normal, 60).Kind == VerdictKind::GoodSoFar));
  }
}

TEST_CASE("Without a concurrent baseline a candidate is suspect, not bad") {
  // Guards against a verdict of bad from a comparison with earlier baseline
  // calls alone.
  AnalysisFixture Fixture(3);
  Fixture.run({}, 30);
  CallPattern CandidateOnly;
  CandidateOnly.BaselineCalls = 0;
  CandidateOnly.CandidateCalls = 400;
  CandidateOnly.CandidateFailures = 0.3;
  CHECK((Fixture.run(CandidateOnly, 10).Kind == VerdictKind::Suspect));
  CallPattern EqualShares;
  EqualShares.BaselineCalls = EqualShares.CandidateCalls = 200;
  EqualShares.CandidateFailures = 0.3;
  CHECK((Fixture.run(EqualShares, 10).Kind == VerdictKind::Bad));
}

TEST_CASE("Little traffic gives no verdict") {
  // Guards against a verdict from too few calls: without a known baseline, and
  // by chance from a fault rate that both versions share.
  CallPattern FewCalls;
  FewCalls.BaselineCalls = 1;
  FewCalls.CandidateCalls = 1;
  FewCalls.CandidateFailures = 1;
  CHECK((AnalysisFixture(4).run(FewCalls, 19).Kind ==
         VerdictKind::NotEnoughEvidence));
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CallPattern Alike = FewCalls;
    Alike.BaselineFailures = Alike.CandidateFailures = 0.01 * (Seed % 40);
    CAPTURE(Seed);
    CHECK((AnalysisFixture(Seed).run(Alike, 49).Kind != VerdictKind::Bad));
  }
}

TEST_CASE("A route with few calls is judged by clear evidence alone") {
  // Guards against a baseline of fewer than 200 calls that gave no verdict,
  // however many calls of the candidate failed.
  CallPattern AllFail;
  AllFail.BaselineCalls = AllFail.CandidateCalls = 1;
  AllFail.BaselineFailures = 0;
  AllFail.CandidateFailures = 1;
  AnalysisVerdict Verdict = AnalysisFixture(4).run(AllFail, 49);
  REQUIRE((Verdict.Kind == VerdictKind::Bad));
  CHECK(Verdict.Bad->Calls < 40);
  // Good calls show in the list of routes without evidence until there are
  // enough of them.
  AnalysisFixture Good(5);
  CallPattern Fine = AllFail;
  Fine.CandidateFailures = 0;
  Verdict = Good.run(Fine, 10);
  REQUIRE(Verdict.Unjudged.size() == 1);
  CHECK(Verdict.Unjudged[0].AllCalls == 20);
  CHECK(Verdict.Unjudged[0].GoodCalls == 0);
  CHECK_FALSE(Verdict.Unjudged[0].HasBaseline);
  CHECK(Good.run(Fine, 30).Unjudged.empty());
}

TEST_CASE("A fault on many routes with few calls each is found") {
  // Guards against a version that is bad on routes of which none has enough
  // calls for evidence of its own.
  std::vector<RouteName> Routes;
  Routes.reserve(300);
  for (int Index = 0; Index < 300; ++Index)
    Routes.emplace_back("r" + std::to_string(Index));
  VersionAnalysis Analysis = *VersionAnalysis::create(Routes);
  std::map<RouteName, RouteTotals> Totals;
  SeededNumbers Numbers(6);
  Instant Now;
  for (int Step = 0; Step < 60; ++Step) {
    for (int Call = 0; Call < 40; ++Call) {
      RouteTotals &Route = Totals[Routes[Numbers.next() % Routes.size()]];
      if (Call < 32)
        Route.Baseline.count(false, std::chrono::milliseconds(6));
      else
        Route.Candidate.count(Numbers.chance(0.5),
                              std::chrono::milliseconds(6));
    }
    Now += StepTime;
    if (Analysis.step(Now, Totals).Kind == VerdictKind::Bad)
      break;
  }
  REQUIRE((Analysis.verdict().Kind == VerdictKind::Bad));
  CHECK(Analysis.verdict().CandidateCalls < 100);
}

TEST_CASE("Counters that decrease and unknown routes change nothing") {
  // Guards against negative counts when a new leader has fewer reports than its
  // predecessor.
  AnalysisFixture Fixture(5);
  Fixture.run({}, 30);
  auto Lower = Fixture.Totals;
  Lower[AnalysisFixture::Route].Candidate = {};
  Lower[RouteName("other")].Candidate.Failures = 100;
  auto Before = Fixture.Analysis.verdict().CandidateCalls;
  Fixture.Analysis.step(Fixture.Now + StepTime, Lower);
  CHECK(Fixture.Analysis.verdict().CandidateCalls == Before);
  CHECK((Fixture.Analysis.verdict().Kind == VerdictKind::GoodSoFar));
}

TEST_CASE("An analysis without routes or with an invalid budget is rejected") {
  // Guards against a division by zero routes and against a budget that is no
  // probability.
  CHECK_FALSE(VersionAnalysis::create({}).has_value());
  CHECK_FALSE(
      VersionAnalysis::create({AnalysisFixture::Route}, {0, 50}).has_value());
  CHECK_FALSE(
      VersionAnalysis::create({AnalysisFixture::Route}, {1, 50}).has_value());
}
