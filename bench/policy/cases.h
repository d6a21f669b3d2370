#ifndef AMARANTHWARD_BENCH_POLICY_CASES_H
#define AMARANTHWARD_BENCH_POLICY_CASES_H

#include "report.h"

namespace amaranthward {

/// Versions that stay good, also while both versions are disturbed.
void runGoodVersionCases(Report &Into);
/// Versions that are bad from the start or turn bad.
void runBadVersionCases(Report &Into);
/// A node cut off from the control replicas, and a leader that was away.
void runCutOffCases(Report &Into);
/// Sequential tests compared with each other on plain streams of calls.
void runAnalysisMethodCases(Report &Into);
/// Processor time of one step; printed, never enforced.
void runStepCostCases(Report &Into);
void runAdmissionCases(Report &Into);

} // namespace amaranthward

#endif
