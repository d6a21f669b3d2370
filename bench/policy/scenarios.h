#ifndef AMARANTHWARD_BENCH_POLICY_SCENARIOS_H
#define AMARANTHWARD_BENCH_POLICY_SCENARIOS_H

#include "scenario.h"

namespace amaranthward {

/// A version that is bad from the start, or turns bad.
Scenario badScenario(double FailureRate, double SlowFactor = 1);
/// A smaller service, for cases that need many whole moves.
Scenario smallScenario();
/// Gives both versions a disturbance of random time, length and strength.
void disturbBoth(Scenario &Of, std::uint64_t Seed);

} // namespace amaranthward

#endif
