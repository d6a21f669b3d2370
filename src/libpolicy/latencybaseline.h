#ifndef AMARANTHWARD_LIBPOLICY_LATENCYBASELINE_H
#define AMARANTHWARD_LIBPOLICY_LATENCYBASELINE_H

#include "libcore/units.h"
#include <array>
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Latency of one warm upstream as a geometric mean per route and load band. A
/// band is a range of concurrent calls, so that the baseline includes the
/// effect of load on latency. All logarithms are natural, of microseconds.
class LatencyBaseline {
public:
  explicit LatencyBaseline(std::uint32_t Slots);

  /// Adds a latency measured on the warm upstream. \a InFlight includes the
  /// measured call.
  void add(std::uint32_t Route, std::uint32_t InFlight, double LogLatency);
  /// Adds the difference between a log latency and its expected value to the
  /// variance. Also valid for latencies measured during warm-up.
  void addDeviation(std::uint32_t Route, double LogDeviation);
  /// Logarithm of the expected latency in microseconds; 0 when unknown.
  double expected(std::uint32_t Route, std::uint32_t InFlight) const;
  /// Variance of the logarithm of the latency.
  double variance(std::uint32_t Route) const;
  /// Discards the latencies and keeps their variances.
  void clear();

  /// Number of load bands.
  static constexpr std::uint32_t Bands = 16;

private:
  struct Band {
    /// Mean log latency.
    double Mean = 0;
    std::uint32_t Count = 0;
  };
  struct RouteLatency {
    std::array<Band, Bands> ByLoad{};
    double Variance = InitialVariance;
    /// Deviations that the variance contains, up to MaxWeightCount.
    std::uint32_t Count = 0;
  };
  RouteLatency &at(std::uint32_t Route);
  std::uint32_t bandOf(std::uint32_t InFlight) const;
  /// Logarithm of the assumed slowdown in a load band against an idle upstream.
  double loadFactor(std::uint32_t BandIndex) const;

  /// The mean of a band with fewer measurements is not used.
  static constexpr std::uint32_t MinCount = 30;
  /// A new measurement weighs at least 1 / MaxWeightCount, so that the means
  /// follow slow changes.
  static constexpr std::uint32_t MaxWeightCount = 256;
  /// Variance of a route before its first deviation.
  static constexpr double InitialVariance = 0.25;
  /// An outlier counts at most as a latency off by the factor e^2.
  static constexpr double MaxSquaredDeviation = 4;
  /// Lower bound of variance(): a standard deviation of 0.2.
  static constexpr double MinVariance = 0.04;

  std::uint32_t Slots;
  /// Indexed by route.
  std::vector<RouteLatency> Routes;
};

} // namespace amaranthward

#endif
