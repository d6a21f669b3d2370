#include "libpolicy/servicetimes.h"

namespace amaranthward {

namespace {

/// Time after the last measurement of a route in which its estimates hold.
constexpr Duration MeasurementTimeout = std::chrono::seconds(1);
/// Weight of a new latency in the moving means.
constexpr double MeanWeight = 1.0 / 16;
/// Weight with which a longer latency raises the minimum. Small, so that the
/// estimate stays near the minimum but follows a lasting slowdown.
constexpr double MinimumRiseWeight = 1.0 / 64;

} // namespace

void ServiceTimes::add(std::uint32_t Route, Duration Latency, Instant Now) {
  auto Micros = static_cast<double>(Latency.count());
  this->Mean = this->Mean == 0
                   ? Micros
                   : this->Mean + (Micros - this->Mean) * MeanWeight;
  if (Route >= this->Routes.size())
    this->Routes.resize(Route + 1);
  RouteTime &RouteTimes = this->Routes[Route];
  if (RouteTimes.MinimumTokens == 0 || Micros < RouteTimes.MinimumTokens)
    RouteTimes.MinimumTokens = Micros;
  else
    RouteTimes.MinimumTokens +=
        (Micros - RouteTimes.MinimumTokens) * MinimumRiseWeight;
  RouteTimes.Mean =
      RouteTimes.Mean == 0
          ? Micros
          : RouteTimes.Mean + (Micros - RouteTimes.Mean) * MeanWeight;
  RouteTimes.MeasuredAt = Now;
}

Duration ServiceTimes::minServiceTime(std::uint32_t Route, Instant Now) const {
  if (Route >= this->Routes.size())
    return Duration::zero();
  const RouteTime &RouteTimes = this->Routes[Route];
  if (RouteTimes.MinimumTokens == 0 ||
      Now - RouteTimes.MeasuredAt > MeasurementTimeout)
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(RouteTimes.MinimumTokens));
}

Duration ServiceTimes::meanServiceTime(std::uint32_t Route, Instant Now) const {
  if (Route >= this->Routes.size())
    return Duration::zero();
  const RouteTime &RouteTimes = this->Routes[Route];
  if (Now - RouteTimes.MeasuredAt > MeasurementTimeout)
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(RouteTimes.Mean));
}

Duration ServiceTimes::mean() const {
  return Duration(static_cast<Duration::rep>(this->Mean));
}

} // namespace amaranthward
