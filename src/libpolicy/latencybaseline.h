#ifndef AMARANTHWARD_LIBPOLICY_LATENCYBASELINE_H
#define AMARANTHWARD_LIBPOLICY_LATENCYBASELINE_H

#include "libcore/units.h"
#include <array>
#include <cstdint>
#include <vector>

namespace amaranthward {

/// The latency of one upstream when it is warm: geometric means per route and
/// band of concurrent calls, so that the effect of load is part of it.
class LatencyBaseline {
public:
  explicit LatencyBaseline(std::uint32_t Slots);

  /// Takes one latency measured on the warm upstream. \a InFlight includes the
  /// measured call.
  void learn(std::uint32_t Route, std::uint32_t InFlight, double LogLatency);
  /// Takes the distance of one log latency from what was expected, also while
  /// the upstream warms up.
  void learnSpread(std::uint32_t Route, double Off);
  /// Logarithm of the expected latency in microseconds. 0 when unknown.
  double expected(std::uint32_t Route, std::uint32_t InFlight) const;
  /// Variance of the logarithm of the latency.
  double variance(std::uint32_t Route) const;
  /// Forgets the latencies and keeps their spread.
  void clear();

  static constexpr std::uint32_t Bands = 16;

private:
  struct Band {
    double Mean = 0;
    std::uint32_t Count = 0;
  };
  struct RouteLatency {
    std::array<Band, Bands> ByLoad{};
    double Variance = StartVariance;
    std::uint32_t Count = 0;
  };
  RouteLatency &at(std::uint32_t Route);
  std::uint32_t bandOf(std::uint32_t InFlight) const;
  double loadFactor(std::uint32_t BandIndex) const;

  /// Below this count a band's mean is not used.
  static constexpr std::uint32_t MinCount = 30;
  static constexpr std::uint32_t Memory = 256;
  static constexpr double StartVariance = 0.25;
  /// One outlier counts at most as e^2 times slower.
  static constexpr double MostSquare = 4;
  static constexpr double LeastVariance = 0.04;

  std::uint32_t Slots;
  std::vector<RouteLatency> Routes;
};

} // namespace amaranthward

#endif
