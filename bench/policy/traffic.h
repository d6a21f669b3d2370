#ifndef AMARANTHWARD_BENCH_POLICY_TRAFFIC_H
#define AMARANTHWARD_BENCH_POLICY_TRAFFIC_H

#include "libcore/units.h"
#include "libpolicy/latencyhistogram.h"
#include <array>
#include <cstdint>

namespace amaranthward {

/// Random numbers that are the same on every machine (SplitMix64).
class SeededNumbers {
public:
  explicit SeededNumbers(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next();
  /// Uniform in [0, 1).
  double uniform();
  bool chance(double Probability) { return this->uniform() < Probability; }
  /// Uniform in [Low, High].
  Duration between(Duration Low, Duration High);
  std::uint64_t poisson(double Mean);

private:
  std::uint64_t State;
};

/// Log-normal latencies.
class LatencySource {
public:
  LatencySource(Duration Median, double Sigma);

  Duration draw(SeededNumbers &Numbers) const;
  /// Part of the latencies, scaled by \a Factor, at or above \a Threshold.
  double partFrom(Duration Threshold, double Factor = 1) const;

private:
  static constexpr std::size_t Quantiles = 4096;
  std::array<Duration, Quantiles> Table;
};

} // namespace amaranthward

#endif
