#ifndef AMARANTHWARD_BENCH_POLICY_ANALYSISMETHODS_H
#define AMARANTHWARD_BENCH_POLICY_ANALYSISMETHODS_H

#include "libpolicy/rateevidence.h"
#include <functional>
#include <string>
#include <vector>

namespace amaranthward {

/// Takes the calls since the last step; returns whether the candidate is bad.
using AnalysisMethod =
    std::function<bool(FaultCount Baseline, FaultCount Candidate)>;

struct NamedMethod {
  std::string Name;
  std::function<AnalysisMethod()> Make;
};

/// The mixture of likelihood ratios, and the tests that it was weighed against.
std::vector<NamedMethod> analysisMethods();

} // namespace amaranthward

#endif
