#include "libpolicy/latencybaseline.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

LatencyBaseline::LatencyBaseline(std::uint32_t Slots) : Slots(Slots) {}

std::uint32_t LatencyBaseline::bandOf(std::uint32_t InFlight) const {
  std::uint32_t Level = std::clamp(InFlight, 1U, this->Slots) - 1;
  if (this->Slots <= Bands)
    return Level;
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(Level) * Bands /
                                    this->Slots);
}

// Assumed growth of latency with load, for a band without measurements. Latency
// doubles at full load, which is more than in most upstreams. The estimate for
// an unmeasured low band is thus too fast, which makes the ramp slower but
// safe.
double LatencyBaseline::loadFactor(std::uint32_t BandIndex) const {
  double Used = static_cast<double>(BandIndex + 1) /
                std::min<std::uint32_t>(this->Slots, Bands);
  return std::log1p(Used * Used);
}

LatencyBaseline::RouteLatency &LatencyBaseline::at(std::uint32_t Route) {
  if (Route >= this->Routes.size())
    this->Routes.resize(Route + 1);
  return this->Routes[Route];
}

void LatencyBaseline::clear() {
  for (RouteLatency &Latency : this->Routes)
    Latency.ByLoad.fill(Band());
}

void LatencyBaseline::addDeviation(std::uint32_t Route, double LogDeviation) {
  RouteLatency &Latency = this->at(Route);
  Latency.Count = std::min(Latency.Count + 1, MaxWeightCount);
  double SquaredDeviation =
      std::min(LogDeviation * LogDeviation, MaxSquaredDeviation);
  Latency.Variance +=
      (SquaredDeviation - Latency.Variance) / std::max(Latency.Count, MinCount);
}

void LatencyBaseline::add(std::uint32_t Route, std::uint32_t InFlight,
                          double LogLatency) {
  Band &LoadBand = this->at(Route).ByLoad[this->bandOf(InFlight)];
  LoadBand.Count = std::min(LoadBand.Count + 1, MaxWeightCount);
  LoadBand.Mean += (LogLatency - LoadBand.Mean) / LoadBand.Count;
}

double LatencyBaseline::expected(std::uint32_t Route,
                                 std::uint32_t InFlight) const {
  if (Route >= this->Routes.size())
    return 0;
  const RouteLatency &Latency = this->Routes[Route];
  std::uint32_t WantedBand = this->bandOf(InFlight);
  for (std::uint32_t Lower = WantedBand + 1; Lower-- > 0;)
    if (Latency.ByLoad[Lower].Count >= MinCount)
      return Latency.ByLoad[Lower].Mean;
  for (std::uint32_t Higher = WantedBand + 1; Higher < Bands; ++Higher)
    if (Latency.ByLoad[Higher].Count >= MinCount)
      return Latency.ByLoad[Higher].Mean - this->loadFactor(Higher) +
             this->loadFactor(WantedBand);
  return 0;
}

double LatencyBaseline::variance(std::uint32_t Route) const {
  if (Route >= this->Routes.size())
    return InitialVariance;
  return std::max(this->Routes[Route].Variance, MinVariance);
}

} // namespace amaranthward
