#include "admissioncases.h"
#include "gateexperiment.h"
#include <algorithm>

namespace amaranthward {

namespace {

using std::chrono::seconds;

constexpr std::uint64_t Seeds = 10;
constexpr std::uint64_t BaselineSeeds = 2;
constexpr GatePolicy Baselines[] = {GatePolicy::NoRamp, GatePolicy::TimedRamp,
                                    GatePolicy::FixedLimit};

/// Sums over the seeds.
struct GateSums {
  GateFigures Sum;
  std::uint64_t ReachedFull = 0;
  std::uint64_t Dropped = 0;
  double FullSeconds = 0;
  double WorstDropMillis = 0;
  double MeanDropMillis = 0;
  double FullAgainSeconds = 0;
  std::uint64_t FullAgain = 0;
  std::uint32_t MostInFlight = 0;
  std::uint64_t Calls = 0;
  std::uint64_t Answered = 0;
};

double inSeconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

void addTimes(GateSums &Into, const GateFigures &One) {
  if (One.FullAfter) {
    ++Into.ReachedFull;
    Into.FullSeconds += inSeconds(*One.FullAfter);
  }
  if (One.DropAfter) {
    ++Into.Dropped;
    Into.MeanDropMillis += inSeconds(*One.DropAfter) * 1000;
    Into.WorstDropMillis =
        std::max(Into.WorstDropMillis, inSeconds(*One.DropAfter) * 1000);
  }
  if (One.FullAgainAfter) {
    ++Into.FullAgain;
    Into.FullAgainSeconds += inSeconds(*One.FullAgainAfter);
  }
}

std::uint64_t seedsOf(GatePolicy Policy) {
  return Policy == GatePolicy::Admission ? Seeds : BaselineSeeds;
}

GateSums runSeeds(GateExperiment Plan, GatePolicy Policy) {
  GateSums All;
  Plan.Policy = Policy;
  for (Plan.Seed = 1; Plan.Seed <= seedsOf(Policy); ++Plan.Seed) {
    GateFigures One = run(Plan);
    All.Sum.AboveAtStart += One.AboveAtStart;
    All.Sum.AboveBeforeDrop += One.AboveBeforeDrop;
    All.Sum.AboveAfterDrop += One.AboveAfterDrop;
    All.Sum.Falls += One.Falls;
    All.Sum.FalseDrops += One.FalseDrops;
    All.Sum.Cancelled += One.Cancelled;
    All.Sum.StartedBeforeDrop += One.StartedBeforeDrop;
    for (std::size_t I = 0; I < 3; ++I) {
      All.Sum.Calls[I] += One.Calls[I];
      All.Sum.Answered[I] += One.Answered[I];
      All.Sum.Failed[I] += One.Failed[I];
      All.Calls += One.Calls[I];
      All.Answered += One.Answered[I];
    }
    All.MostInFlight = std::max(All.MostInFlight, One.InFlightAtTurn);
    addTimes(All, One);
  }
  All.FullSeconds /=
      static_cast<double>(std::max<std::uint64_t>(1, All.ReachedFull));
  All.MeanDropMillis /=
      static_cast<double>(std::max<std::uint64_t>(1, All.Dropped));
  All.FullAgainSeconds /=
      static_cast<double>(std::max<std::uint64_t>(1, All.FullAgain));
  return All;
}

double part(std::uint64_t Some, std::uint64_t All) {
  return All == 0 ? 0 : static_cast<double>(Some) / static_cast<double>(All);
}

CaseLabel label(const std::string &Case, GatePolicy Policy) {
  return {Case, toString(Policy), seedsOf(Policy)};
}

void coldStart(Report &Into, const std::string &Case,
               const GateExperiment &Plan) {
  CaseLabel Own = label(Case, GatePolicy::Admission);
  GateSums All = runSeeds(Plan, GatePolicy::Admission);
  Into.atMost(Own, "calls above cold capacity",
              static_cast<double>(All.Sum.AboveAtStart), 0);
  Into.atMost(Own, "upstream falls over", static_cast<double>(All.Sum.Falls),
              0);
  Into.print(Own, "runs that reached the full limit",
             static_cast<double>(All.ReachedFull));
  Into.print(Own, "mean time to full limit, s", All.FullSeconds);
  Into.print(Own, "share of calls answered", part(All.Answered, All.Calls));
}

void compareBaselines(Report &Into, const std::string &Case,
                      const GateExperiment &Plan) {
  for (GatePolicy Policy : Baselines) {
    GateSums All = runSeeds(Plan, Policy);
    CaseLabel Other = label(Case, Policy);
    Into.compare(Other, "calls above cold capacity",
                 static_cast<double>(All.Sum.AboveAtStart +
                                     All.Sum.AboveBeforeDrop +
                                     All.Sum.AboveAfterDrop),
                 0);
    Into.compare(Other, "upstream falls over",
                 static_cast<double>(All.Sum.Falls), 0);
    Into.print(Other, "share of calls answered", part(All.Answered, All.Calls));
  }
}

GateExperiment slower(GateExperiment Plan, int Times) {
  Plan.Upstream.WarmTime *= Times;
  Plan.Upstream.WarmCalls *= Times;
  Plan.Length = seconds(60);
  return Plan;
}

void coldStartCases(Report &Into) {
  GateExperiment Plan;
  coldStart(Into, "cold start", Plan);
  compareBaselines(Into, "cold start", Plan);
  GateExperiment Other = Plan;
  Other.Upstream.ColdCapacity = 1.5;
  coldStart(Into, "cold start, bears 1.5", Other);
  Other = Plan;
  Other.Upstream.ColdSlowdown = 1;
  coldStart(Into, "cold start, not slow alone", Other);
  Other = Plan;
  Other.Upstream.LoadGrowth = 0.3;
  coldStart(Into, "cold start, load shows weakly", Other);
  Other = Plan;
  Other.Upstream.LoadGrowth = 1;
  coldStart(Into, "cold start, load shows a lot", Other);
  Other = Plan;
  Other.CallsPerSecond = 60;
  coldStart(Into, "cold start, few calls", Other);
  coldStart(Into, "cold start, takes twice as long", slower(Plan, 2));
  compareBaselines(Into, "cold start, takes twice as long", slower(Plan, 2));
  coldStart(Into, "cold start, takes 4 times", slower(Plan, 4));
  // The declared warm-up time and the latency both mislead here.
  Other = slower(Plan, 4);
  Other.Upstream.LoadGrowth = 0.3;
  coldStart(Into, "4 times, load shows weakly", Other);
  Other = slower(Plan, 4);
  Other.Upstream.ColdSlowdown = 1;
  coldStart(Into, "4 times, not slow alone", Other);
}

void reportCases(Report &Into) {
  GateExperiment Plan;
  Plan.Upstream.Report = LoadReport::AlwaysLow;
  coldStart(Into, "load report always low", Plan);
  Plan.Upstream.Report = LoadReport::Lagging;
  coldStart(Into, "load report lags", Plan);
  Plan.Upstream.Report = LoadReport::AlwaysFull;
  coldStart(Into, "load report always full", Plan);
}

void coldAgain(Report &Into, const std::string &Case,
               const GateExperiment &Plan) {
  CaseLabel Own = label(Case, GatePolicy::Admission);
  GateSums All = runSeeds(Plan, GatePolicy::Admission);
  double Runs = Seeds;
  Into.atMost(Own, "calls above, before the turn",
              static_cast<double>(All.Sum.AboveAtStart), 0);
  Into.print(Own, "most calls in flight at the turn", All.MostInFlight);
  Into.print(Own, "mean time to limit 1, ms", All.MeanDropMillis);
  Into.print(Own, "worst time to limit 1, ms", All.WorstDropMillis);
  Into.print(Own, "started from turn to drop, mean",
             static_cast<double>(All.Sum.StartedBeforeDrop) / Runs);
  Into.atMost(Own, "calls above, turn to drop, mean",
              static_cast<double>(All.Sum.AboveBeforeDrop) / Runs, 0);
  Into.atMost(Own, "calls above, after the drop",
              static_cast<double>(All.Sum.AboveAfterDrop), 0);
  Into.atLeast(Own, "runs in which the turn was found",
               static_cast<double>(All.Dropped), Runs);
  Into.print(Own, "upstream falls over, mean",
             static_cast<double>(All.Sum.Falls) / Runs);
  Into.print(Own, "calls cancelled, mean",
             static_cast<double>(All.Sum.Cancelled) / Runs);
  Into.print(Own, "mean time to full limit again, s", All.FullAgainSeconds);
  Into.print(Own, "share of calls answered", part(All.Answered, All.Calls));
}

void coldAgainCases(Report &Into) {
  GateExperiment Plan;
  Plan.Length = seconds(90);
  Plan.TurnsCold = seconds(45);
  coldAgain(Into, "cold again, none cancellable", Plan);
  compareBaselines(Into, "cold again, none cancellable", Plan);
  Plan.Cancellable = 0.8;
  coldAgain(Into, "cold again, 80% cancellable", Plan);
  Plan.CallsPerSecond = 150;
  coldAgain(Into, "cold again at 60% load", Plan);
  Plan.Upstream.ColdSlowdown = 1;
  coldAgain(Into, "cold again, not slow alone", Plan);
}

void warmCases(Report &Into) {
  GateExperiment Plan;
  Plan.Length = seconds(120);
  Plan.CountFrom = seconds(40);
  Plan.Upstream.FailureRate = 0.02;
  Plan.WorkSpread = 0.8;
  for (GatePolicy Policy :
       {GatePolicy::Admission, GatePolicy::NoRamp, GatePolicy::FixedLimit}) {
    // Without a ramp the upstream would not survive the start of the run.
    Plan.Upstream.StartsWarm = Policy != GatePolicy::Admission;
    GateSums All = runSeeds(Plan, Policy);
    CaseLabel Row = label("warm, 1.4 times its capacity", Policy);
    if (Policy == GatePolicy::Admission)
      Into.print(Row, "limit dropped without cause",
                 static_cast<double>(All.Sum.FalseDrops));
    Into.print(Row, "urgent calls answered",
               part(All.Sum.Answered[0], All.Sum.Calls[0]));
    Into.print(Row, "interactive calls answered",
               part(All.Sum.Answered[1], All.Sum.Calls[1]));
    Into.print(Row, "bulk calls answered",
               part(All.Sum.Answered[2], All.Sum.Calls[2]));
  }
}

} // namespace

void runGateCases(Report &Into) {
  coldStartCases(Into);
  reportCases(Into);
  coldAgainCases(Into);
  warmCases(Into);
}

} // namespace amaranthward
