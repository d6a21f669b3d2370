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
  // Guards against a verdict from too few calls.
  CallPattern FewCalls;
  FewCalls.BaselineCalls = 1;
  FewCalls.CandidateCalls = 1;
  FewCalls.CandidateFailures = 1;
  CHECK((AnalysisFixture(4).run(FewCalls, 49).Kind ==
         VerdictKind::NotEnoughEvidence));
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
