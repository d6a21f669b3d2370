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

// Assumed growth of latency with load for a band that was never seen warm. It
// doubles at full load, which is more than most upstreams do. An unseen low
// band is thus expected faster than it is, and the ramp slower.
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
  for (RouteLatency &One : this->Routes)
    One.ByLoad.fill(Band());
}

void LatencyBaseline::learnSpread(std::uint32_t Route, double Off) {
  RouteLatency &One = this->at(Route);
  One.Count = std::min(One.Count + 1, Memory);
  double Square = std::min(Off * Off, MostSquare);
  One.Variance += (Square - One.Variance) / std::max(One.Count, MinCount);
}

void LatencyBaseline::learn(std::uint32_t Route, std::uint32_t InFlight,
                            double LogLatency) {
  Band &Here = this->at(Route).ByLoad[this->bandOf(InFlight)];
  Here.Count = std::min(Here.Count + 1, Memory);
  Here.Mean += (LogLatency - Here.Mean) / Here.Count;
}

double LatencyBaseline::expected(std::uint32_t Route,
                                 std::uint32_t InFlight) const {
  if (Route >= this->Routes.size())
    return 0;
  const RouteLatency &One = this->Routes[Route];
  std::uint32_t Wanted = this->bandOf(InFlight);
  for (std::uint32_t Lower = Wanted + 1; Lower-- > 0;)
    if (One.ByLoad[Lower].Count >= MinCount)
      return One.ByLoad[Lower].Mean;
  for (std::uint32_t Higher = Wanted + 1; Higher < Bands; ++Higher)
    if (One.ByLoad[Higher].Count >= MinCount)
      return One.ByLoad[Higher].Mean - this->loadFactor(Higher) +
             this->loadFactor(Wanted);
  return 0;
}

double LatencyBaseline::variance(std::uint32_t Route) const {
  if (Route >= this->Routes.size())
    return StartVariance;
  return std::max(this->Routes[Route].Variance, LeastVariance);
}

} // namespace amaranthward
