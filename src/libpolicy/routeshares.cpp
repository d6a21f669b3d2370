#include "libpolicy/routeshares.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

RouteShares::Counts &RouteShares::at(std::uint32_t Route, Instant Now) {
  if (this->Routes.size() <= Route)
    this->Routes.resize(Route + 1);
  Counts &RouteCounts = this->Routes[Route];
  std::chrono::duration<double> Elapsed = Now - RouteCounts.At;
  double Decay = std::exp(-Elapsed / std::chrono::duration<double>(DecayTime));
  RouteCounts.Requested *= Decay;
  RouteCounts.Started *= Decay;
  RouteCounts.At = Now;
  return RouteCounts;
}

void RouteShares::recordRequest(std::uint32_t Route, Instant Now) {
  this->at(Route, Now).Requested += 1;
}

void RouteShares::recordStart(std::uint32_t Route, Instant Now) {
  this->at(Route, Now).Started += 1;
}

void RouteShares::recordCancelled(std::uint32_t Route) {
  Counts &RouteCounts = this->Routes[Route];
  RouteCounts.Requested =
      std::max(RouteCounts.Started, RouteCounts.Requested - 1);
}

bool RouteShares::isAhead(std::uint32_t Route, Instant Now) const {
  for (std::uint32_t Other = 0; Other < this->Routes.size(); ++Other)
    if (Now - this->Routes[Other].At < DecayTime &&
        this->isBehind(Other, Route))
      return true;
  return false;
}

double RouteShares::startedFraction(std::uint32_t Route) const {
  // Less than one call is too little to compare.
  if (Route >= this->Routes.size() || this->Routes[Route].Requested < 1)
    return 1;
  const Counts &RouteCounts = this->Routes[Route];
  return std::min(1.0, RouteCounts.Started / RouteCounts.Requested);
}

} // namespace amaranthward
