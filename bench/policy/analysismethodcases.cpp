#include "cases.h"

#include "analysismethods.h"
#include "traffic.h"
#include "waldbound.h"

namespace amaranthward {
namespace {

constexpr std::uint64_t Seeds = 200;
constexpr std::uint64_t StreamCalls = 5000;
constexpr double UsualRate = 0.001;
/// Baseline calls for each call of the candidate.
constexpr double BaselineCalls = 100;

/// A stream of single calls of the candidate beside the baseline.
struct StreamCase {
  double BadRate = UsualRate;
  std::uint64_t BadFrom = 0;
  /// Calls in which both versions fail at this rate.
  double BothRate = 0;
  std::uint64_t BothFrom = 0;
  std::uint64_t BothUntil = 0;
};

/// The call at which the method finds the version bad; StreamCalls if never.
std::uint64_t callsToVerdict(const StreamCase &Of, const AnalysisMethod &Method,
                             std::uint64_t Seed) {
  SeededNumbers Numbers(Seed * 7919);
  for (std::uint64_t Call = 0; Call < StreamCalls; ++Call) {
    bool IsDisturbed = Call >= Of.BothFrom && Call < Of.BothUntil;
    double Usual = IsDisturbed ? Of.BothRate : UsualRate;
    double Rate = Call >= Of.BadFrom ? std::max(Usual, Of.BadRate) : Usual;
    auto Faults = static_cast<double>(Numbers.poisson(BaselineCalls * Usual));
    if (Method({BaselineCalls, Faults}, {1, Numbers.chance(Rate) ? 1.0 : 0.0}))
      return Call + 1;
  }
  return StreamCalls;
}

void addDetection(Report &Into, const NamedMethod &Method,
                  const std::string &Name, const StreamCase &Of) {
  double Sum = 0;
  double Found = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::uint64_t Calls = callsToVerdict(Of, Method.Make(), Seed);
    if (Calls <= Of.BadFrom)
      continue;
    ++Found;
    Sum += static_cast<double>(Calls - Of.BadFrom);
  }
  CaseLabel Label = {Name, Method.Name, Seeds};
  Into.compare(Label, "calls to verdict, mean", Found > 0 ? Sum / Found : 0,
               2 * waldBound(Of.BadRate, UsualRate) + 2);
}

void addFalseAlarms(Report &Into, const NamedMethod &Method,
                    const std::string &Name, const StreamCase &Of) {
  double Alarms = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Alarms += callsToVerdict(Of, Method.Make(), Seed) < StreamCalls ? 1 : 0;
  Into.compare({Name, Method.Name, Seeds}, "false verdicts, per 1,000",
               1000 * Alarms / Seeds, 1);
}

} // namespace

void runAnalysisMethodCases(Report &Into) {
  for (const NamedMethod &Method : analysisMethods()) {
    StreamCase Bad;
    Bad.BadRate = 0.3;
    addDetection(Into, Method, "stream fails, 30%", Bad);
    Bad.BadRate = 0.05;
    addDetection(Into, Method, "stream fails, 5%", Bad);
    Bad.BadRate = 0.3;
    Bad.BadFrom = 2000;
    addDetection(Into, Method, "stream fails from call 2,000", Bad);
    addFalseAlarms(Into, Method, "stream good", {});
    StreamCase Disturbed;
    Disturbed.BothRate = 0.3;
    Disturbed.BothFrom = 1000;
    Disturbed.BothUntil = 1050;
    addFalseAlarms(Into, Method, "stream good, both disturbed", Disturbed);
  }
}

} // namespace amaranthward
