#include "admissioncases.h"
#include "meshexperiment.h"
#include <chrono>
#include <cmath>

namespace amaranthward {

namespace {

using std::chrono::seconds;

constexpr std::uint64_t Seeds = 10;
constexpr std::uint64_t OverloadSeeds = 3;

struct MeshSums {
  MeshFigures Sum;
  double WorstAttempts = 0;
  double P99 = 0;
  double OwnZone = 0;
};

MeshSums runSeeds(MeshExperiment Plan, std::uint64_t Count) {
  MeshSums All;
  for (Plan.Seed = 1; Plan.Seed <= Count; ++Plan.Seed) {
    MeshFigures One = run(Plan);
    for (std::size_t I = 0; I < 3; ++I) {
      All.Sum.Calls[I] += One.Calls[I];
      All.Sum.Lost[I] += One.Lost[I];
    }
    All.Sum.AllCalls += One.AllCalls;
    All.WorstAttempts =
        std::max(All.WorstAttempts, static_cast<double>(One.Attempts) /
                                        static_cast<double>(One.AllCalls));
    All.P99 += One.P99Millis / static_cast<double>(Count);
    All.OwnZone += One.OwnZone / static_cast<double>(Count);
  }
  return All;
}

double lostPart(const MeshFigures &All) {
  return static_cast<double>(All.Lost[0] + All.Lost[1] + All.Lost[2]) /
         static_cast<double>(All.AllCalls);
}

CaseLabel label(const std::string &Case, const MeshExperiment &Plan,
                std::uint64_t Count) {
  std::string Policy = Plan.Choice == ChoicePolicy::TwoChoices
                           ? toString(Plan.Retries)
                           : std::string("rr ") + toString(Plan.Retries);
  return {Case, Policy, Count};
}

void retryCase(Report &Into, const std::string &Case, MeshExperiment Plan,
               std::uint64_t OwnSeeds) {
  for (ChoicePolicy Choice :
       {ChoicePolicy::TwoChoices, ChoicePolicy::RoundRobin})
    for (RetryPolicy Retries : {RetryPolicy::Budget, RetryPolicy::Unlimited}) {
      Plan.Choice = Choice;
      Plan.Retries = Retries;
      bool Own =
          Choice == ChoicePolicy::TwoChoices && Retries == RetryPolicy::Budget;
      std::uint64_t Count = Own ? OwnSeeds : 2;
      MeshSums All = runSeeds(Plan, Count);
      CaseLabel Row = label(Case, Plan, Count);
      if (Own)
        Into.atMost(Row, "attempts per call, worst seed", All.WorstAttempts,
                    1.1);
      else
        Into.compare(Row, "attempts per call, worst seed", All.WorstAttempts,
                     1.1);
      Into.print(Row, "share of calls lost", lostPart(All.Sum));
      Into.print(Row, "urgent calls lost",
                 static_cast<double>(All.Sum.Lost[0]));
    }
}

void steadyCase(Report &Into) {
  MeshExperiment Plan;
  Plan.Length = seconds(60);
  for (ChoicePolicy Choice :
       {ChoicePolicy::TwoChoices, ChoicePolicy::RoundRobin}) {
    Plan.Choice = Choice;
    MeshSums All = runSeeds(Plan, 3);
    CaseLabel Row = {"steady load, 10 upstreams", toString(Choice), 3};
    Into.print(Row, "99th percentile of latency, ms", All.P99);
    Into.print(Row, "attempts in the own zone", All.OwnZone);
  }
}

std::vector<UpstreamCandidate> candidates(std::size_t Count) {
  std::vector<UpstreamCandidate> All;
  for (std::size_t I = 0; I < Count; ++I) {
    UpstreamCandidate One;
    One.Node = NodeName("node-" + std::to_string(I));
    One.Zone = ZoneName("zone-" + std::to_string(I % 3));
    One.Region = RegionName("region");
    One.Slots = 9;
    All.push_back(One);
  }
  return All;
}

// Wall-clock time, so it is printed only.
void choiceCost(Report &Into, std::size_t Count) {
  constexpr int Choices = 200000;
  UpstreamSelectorSettings Settings;
  Settings.OwnZone = ZoneName("zone-0");
  Settings.OwnRegion = RegionName("region");
  auto Choice = UpstreamSelector::create(Settings, seededRandom(1));
  Instant Now{seconds(1)};
  Choice->setCandidates(candidates(Count), {}, Now);
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Choices; ++I) {
    Now += Duration(100);
    auto Handle = Choice->choose(Now);
    Choice->finish(*Handle, AttemptResult::Success, Duration(20000 + I % 7000),
                   Now);
  }
  double Nanos = std::chrono::duration<double, std::nano>(
                     std::chrono::steady_clock::now() - Start)
                     .count();
  Into.print({"one choice, " + std::to_string(Count) + " upstreams",
              toString(ChoicePolicy::TwoChoices), 1},
             "choose and finish, ns", Nanos / Choices);
}

} // namespace

void runChoiceCases(Report &Into) {
  MeshExperiment Plan;
  Plan.HalfRefuse = seconds(36);
  Plan.Length = seconds(56);
  Plan.Rate = 80;
  retryCase(Into, "half of the upstreams refuse", Plan, Seeds);
  MeshExperiment Overload;
  // From the start on, so that no budget is saved up before.
  Overload.WarmAfter = seconds(0);
  Overload.Length = seconds(10);
  Overload.Rate = 400;
  retryCase(Into, "cold, 1.6 times the capacity", Overload, OverloadSeeds);
  steadyCase(Into);
  choiceCost(Into, 10);
  choiceCost(Into, 100);
}

} // namespace amaranthward
