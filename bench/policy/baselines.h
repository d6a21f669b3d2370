#ifndef AMARANTHWARD_BENCH_POLICY_BASELINES_H
#define AMARANTHWARD_BENCH_POLICY_BASELINES_H

#include "scenario.h"
#include <map>

namespace amaranthward {

/// Shares at fixed times, whatever the evidence, until the version is bad.
MoveDecision decideBySchedule(const MoveState &State, const MoveInputs &In,
                              const std::vector<Share> &Schedule);

/// Compares failures and slowness of the last seconds with fixed limits.
class FixedThresholds {
public:
  AnalysisVerdict step(const std::map<RouteName, RouteTotals> &Totals);

private:
  std::map<RouteName, std::vector<RouteTotals>> History;
  AnalysisVerdict Verdict;
};

} // namespace amaranthward

#endif
