#include "libpolicy/versionanalysis.h"

#include "traffic.h"
#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(200);

struct Stream {
  double BaselineFailures = 0.001;
  double CandidateFailures = 0.001;
  double CandidateSlowing = 1;
  std::uint64_t BaselineCalls = 400;
  std::uint64_t CandidateCalls = 4;
};

/// Feeds calls to one analysis, step by step.
class Feed {
public:
  explicit Feed(std::uint64_t Seed)
      : Analysis(*VersionAnalysis::create({Route})), Numbers(Seed),
        Latencies(std::chrono::milliseconds(6), 0.4) {}

  AnalysisVerdict run(const Stream &Of, int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      RouteTotals &All = this->Totals[Route];
      this->count(All.Baseline, Of.BaselineCalls, Of.BaselineFailures, 1);
      this->count(All.Candidate, Of.CandidateCalls, Of.CandidateFailures,
                  Of.CandidateSlowing);
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
  void count(CallCounters &Into, std::uint64_t Calls, double Failures,
             double Slowing) {
    for (std::uint64_t Call = 0; Call < Calls; ++Call) {
      auto Micros =
          static_cast<double>(this->Latencies.draw(this->Numbers).count());
      Into.count(this->Numbers.chance(Failures),
                 Duration(static_cast<Duration::rep>(Micros * Slowing)));
    }
  }

  SeededNumbers Numbers;
  LatencySource Latencies;
};

const RouteName Feed::Route("search");

} // namespace

TEST_CASE("A failing or slow candidate is bad, with the route and the kind") {
  // Guards against a bad version that stays.
  Stream Failing;
  Failing.CandidateFailures = 0.3;
  AnalysisVerdict Verdict = Feed(1).run(Failing, 100);
  REQUIRE((Verdict.Kind == VerdictKind::Bad));
  CHECK((Verdict.Bad->Fault == FaultKind::Failures));
  CHECK(Verdict.Bad->Route == Feed::Route);
  CHECK(Verdict.Bad->Calls < 60);
  CHECK(Verdict.Bad->CandidateRate > Verdict.Bad->BaselineRate);
  Stream Slow;
  Slow.CandidateSlowing = 5;
  Verdict = Feed(2).run(Slow, 100);
  REQUIRE((Verdict.Kind == VerdictKind::Bad));
  CHECK((Verdict.Bad->Fault == FaultKind::Slowness));
}

TEST_CASE("A good candidate stays good, also beside a poor baseline") {
  // Guards against false alarms from chance and from a high common rate.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Stream Good;
    Good.BaselineFailures = Good.CandidateFailures = Seed % 2 ? 0.001 : 0.1;
    Good.CandidateCalls = Seed % 3 ? 4 : 100;
    CHECK((Feed(Seed).run(Good, 150).Kind == VerdictKind::GoodSoFar));
  }
}

TEST_CASE("A disturbance of both versions gives no verdict") {
  // Guards against a good version rolled back by an outage of a zone.
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Stream Quiet;
    Quiet.CandidateCalls = Seed % 2 ? 8 : 200;
    Feed One(Seed);
    One.run(Quiet, 30);
    Stream Disturbed = Quiet;
    Disturbed.BaselineFailures = Disturbed.CandidateFailures = 0.3;
    CHECK((One.run(Disturbed, 20).Kind != VerdictKind::Bad));
    CHECK((One.run(Quiet, 60).Kind == VerdictKind::GoodSoFar));
  }
}

TEST_CASE("Without a concurrent baseline a candidate is suspect, not bad") {
  // Guards against a verdict that nothing concurrent supports.
  Feed One(3);
  One.run({}, 30);
  Stream Alone;
  Alone.BaselineCalls = 0;
  Alone.CandidateCalls = 400;
  Alone.CandidateFailures = 0.3;
  CHECK((One.run(Alone, 10).Kind == VerdictKind::Suspect));
  Stream Halved;
  Halved.BaselineCalls = Halved.CandidateCalls = 200;
  Halved.CandidateFailures = 0.3;
  CHECK((One.run(Halved, 10).Kind == VerdictKind::Bad));
}

TEST_CASE("Little traffic gives no verdict") {
  // Guards against a conclusion from a handful of calls.
  Stream Few;
  Few.BaselineCalls = 1;
  Few.CandidateCalls = 1;
  Few.CandidateFailures = 1;
  CHECK((Feed(4).run(Few, 49).Kind == VerdictKind::NotEnoughEvidence));
}

TEST_CASE("Counters that fall or routes that are unknown change nothing") {
  // Guards against negative counts after a leader has lost reports.
  Feed One(5);
  One.run({}, 30);
  auto Lower = One.Totals;
  Lower[Feed::Route].Candidate = {};
  Lower[RouteName("other")].Candidate.Failures = 100;
  auto Before = One.Analysis.verdict().CandidateCalls;
  One.Analysis.step(One.Now + StepTime, Lower);
  CHECK(One.Analysis.verdict().CandidateCalls == Before);
  CHECK((One.Analysis.verdict().Kind == VerdictKind::GoodSoFar));
}

TEST_CASE("An analysis without routes or with an impossible budget fails") {
  // Guards against a division by the number of routes.
  CHECK_FALSE(VersionAnalysis::create({}).has_value());
  CHECK_FALSE(VersionAnalysis::create({Feed::Route}, {0, 50}).has_value());
  CHECK_FALSE(VersionAnalysis::create({Feed::Route}, {1, 50}).has_value());
}
