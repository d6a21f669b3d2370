#ifndef AMARANTHWARD_BENCH_POLICY_WALDBOUND_H
#define AMARANTHWARD_BENCH_POLICY_WALDBOUND_H

#include <algorithm>
#include <cmath>

namespace amaranthward {

/// False alarm probability of one move over all routes and kinds of fault.
inline constexpr double FalseAlarmBudget = 1e-4;

/// Kullback-Leibler divergence of two Bernoulli distributions, in nats.
inline double divergence(double Bad, double Good) {
  double Sum = 0;
  if (Bad > 0)
    Sum += Bad * std::log(Bad / Good);
  if (Bad < 1)
    Sum += (1 - Bad) * std::log((1 - Bad) / (1 - Good));
  return Sum;
}

/// Mean number of calls below which no sequential test with \a FalseAlarm can
/// tell the rate \a Bad from the rate \a Good.
inline double waldBound(double Bad, double Good,
                        double FalseAlarm = FalseAlarmBudget) {
  return std::log(1 / FalseAlarm) / divergence(Bad, Good);
}

} // namespace amaranthward

#endif
