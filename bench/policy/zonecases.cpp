#include "admissioncases.h"
#include "meshexperiment.h"
#include <algorithm>

namespace amaranthward {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

struct SiteService {
  const char *Name;
  std::vector<std::uint32_t> Upstreams;
  std::uint32_t Entries;
  Duration BetweenZones;
};

std::vector<SiteService> services() {
  return {{"narudzbe, 8 upstreams", {3, 3, 2}, 11, microseconds(1500)},
          {"atelijer, 3 upstreams", {1, 1, 1}, 11, microseconds(1500)},
          {"catalogue, 10 upstreams", {4, 3, 3}, 13, microseconds(1000)},
          {"media, 3 upstreams", {1, 1, 1}, 13, microseconds(1000)}};
}

struct ZonePolicy {
  const char *Name;
  GatePolicy Gate;
  ChoicePolicy Choice;
  RetryPolicy Retries;
};

constexpr ZonePolicy Designed = {"design", GatePolicy::Admission,
                                 ChoicePolicy::TwoChoices, RetryPolicy::Budget};
constexpr ZonePolicy Others[] = {
    {"no ramp", GatePolicy::NoRamp, ChoicePolicy::TwoChoices,
     RetryPolicy::Budget},
    {"even split", GatePolicy::Admission, ChoicePolicy::RoundRobin,
     RetryPolicy::Budget},
    {"none of these", GatePolicy::NoRamp, ChoicePolicy::RoundRobin,
     RetryPolicy::Unlimited}};

struct ZoneRow {
  const char *Figure;
  double Value;
};

void write(Report &Into, const CaseLabel &Label, bool Own, const ZoneRow &Row) {
  if (Own)
    Into.atMost(Label, Row.Figure, Row.Value, 0);
  else
    Into.compare(Label, Row.Figure, Row.Value, 0);
}

void zoneCase(Report &Into, const std::string &Case, MeshExperiment Plan,
              const ZonePolicy &Policy, std::uint64_t Seeds) {
  Plan.Gate = Policy.Gate;
  Plan.Choice = Policy.Choice;
  Plan.Retries = Policy.Retries;
  // Without a ramp the upstreams would not survive the start of the run.
  Plan.Upstream.StartsWarm = Policy.Gate == GatePolicy::NoRamp;
  MeshFigures Sum;
  double P99 = 0;
  for (Plan.Seed = 1; Plan.Seed <= Seeds; ++Plan.Seed) {
    MeshFigures One = run(Plan);
    for (std::size_t I = 0; I < 3; ++I)
      Sum.Lost[I] += One.Lost[I];
    Sum.AllCalls += One.AllCalls;
    Sum.NewWorkWhileOut += One.NewWorkWhileOut;
    Sum.AboveAtStart += One.AboveAtStart;
    Sum.AboveAfterReturn += One.AboveAfterReturn;
    Sum.Falls += One.Falls;
    P99 = std::max(P99, One.P99Millis);
  }
  CaseLabel Label = {Case, Policy.Name, Seeds};
  bool Own = Policy.Name == Designed.Name;
  write(Into, Label, Own,
        {"urgent calls lost", static_cast<double>(Sum.Lost[0])});
  write(Into, Label, Own,
        {"new work in the zone after 2 s",
         static_cast<double>(Sum.NewWorkWhileOut)});
  write(Into, Label, Own,
        {"calls above cold capacity, start",
         static_cast<double>(Sum.AboveAtStart)});
  write(Into, Label, Own,
        {"calls above cold capacity, return",
         static_cast<double>(Sum.AboveAfterReturn)});
  write(Into, Label, Own,
        {"upstream falls over", static_cast<double>(Sum.Falls)});
  Into.print(Label, "share of other calls lost",
             static_cast<double>(Sum.Lost[1] + Sum.Lost[2]) /
                 static_cast<double>(Sum.AllCalls));
  Into.print(Label, "worst 99th percentile, ms", P99);
}

} // namespace

void runZoneCases(Report &Into) {
  MeshExperiment Plan;
  Plan.Leaves = seconds(45);
  Plan.Returns = seconds(52);
  Plan.Length = seconds(72);
  for (const SiteService &Service : services()) {
    Plan.Upstreams = Service.Upstreams;
    Plan.Entries = Service.Entries;
    Plan.BetweenZones = Service.BetweenZones;
    zoneCase(Into, Service.Name, Plan, Designed, 5);
    for (const ZonePolicy &Policy : Others)
      zoneCase(Into, Service.Name, Plan, Policy, 1);
  }
}

} // namespace amaranthward
