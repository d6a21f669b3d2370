#include "cases.h"

#include <array>
#include <gflags/gflags.h>
#include <iostream>
#include <utility>

DEFINE_bool(check, false,
            "exit with status 1 when a bound on a count is missed");
DEFINE_string(only, "", "run only the group of this name");

namespace {

using namespace amaranthward;

constexpr std::array<std::pair<const char *, void (*)(Report &)>, 6> Groups = {
    {{"good", runGoodVersionCases},
     {"bad", runBadVersionCases},
     {"cut_off", runCutOffCases},
     {"methods", runAnalysisMethodCases},
     {"cost", runStepCostCases},
     {"admission", runAdmissionCases}}};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures the decisions of libpolicy");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  Report All;
  for (const auto &[Name, Run] : Groups)
    if (FLAGS_only.empty() || FLAGS_only == Name)
      Run(All);
  All.write(std::cout);
  return FLAGS_check && All.hasMissed() ? 1 : 0;
}
