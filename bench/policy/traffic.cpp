#include "traffic.h"

#include <cmath>

namespace amaranthward {
namespace {

/// Inverse of the standard normal distribution by bisection.
double normalQuantile(double Probability) {
  double Low = -9;
  double High = 9;
  for (int Round = 0; Round < 60; ++Round) {
    double Middle = (Low + High) / 2;
    double Below = 0.5 * std::erfc(-Middle / std::sqrt(2.0));
    (Below < Probability ? Low : High) = Middle;
  }
  return (Low + High) / 2;
}

constexpr std::size_t QuantileCount = 4096;

const std::array<double, QuantileCount> &normalQuantiles() {
  static const auto Computed = [] {
    std::array<double, QuantileCount> All = {};
    for (std::size_t At = 0; At < QuantileCount; ++At)
      All[At] = normalQuantile((static_cast<double>(At) + 0.5) / QuantileCount);
    return All;
  }();
  return Computed;
}

} // namespace

std::uint64_t SeededNumbers::next() {
  std::uint64_t Mixed = (this->State += 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

double SeededNumbers::uniform() {
  return static_cast<double>(this->next() >> 11) * 0x1.0p-53;
}

Duration SeededNumbers::between(Duration Low, Duration High) {
  double Span = static_cast<double>((High - Low).count() + 1);
  return Low + Duration(static_cast<Duration::rep>(this->uniform() * Span));
}

std::uint64_t SeededNumbers::poisson(double Mean) {
  double Limit = std::exp(-Mean);
  double Product = this->uniform();
  std::uint64_t Count = 0;
  while (Product > Limit) {
    Product *= this->uniform();
    ++Count;
  }
  return Count;
}

LatencySource::LatencySource(Duration Median, double Sigma) : Table() {
  for (std::size_t At = 0; At < Quantiles; ++At) {
    double Scale = std::exp(Sigma * normalQuantiles()[At]);
    this->Table[At] =
        Duration(std::llround(static_cast<double>(Median.count()) * Scale));
  }
}

Duration LatencySource::draw(SeededNumbers &Numbers) const {
  return this->Table[Numbers.next() % Quantiles];
}

double LatencySource::partFrom(Duration Threshold, double Factor) const {
  std::size_t Above = 0;
  for (Duration One : this->Table)
    Above += static_cast<double>(One.count()) * Factor >=
             static_cast<double>(Threshold.count());
  return static_cast<double>(Above) / Quantiles;
}

} // namespace amaranthward
