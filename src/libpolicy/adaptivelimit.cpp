#include "libpolicy/adaptivelimit.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Completed calls after which the limit is adjusted.
constexpr std::uint32_t WindowCalls = 32;
/// Mean log ratio of a window above which the limit falls by a tenth.
constexpr double SlowLogRatio = 0.30; ///< log(1.35)
/// Mean log ratio of a window below which the limit rises by one.
constexpr double RaiseLogRatio = 0.14; ///< log(1.15)
/// Fraction of failed calls in a window above which the limit falls.
constexpr double MaxFailureFraction = 0.2;
/// The limit never falls below the slots divided by this. A lasting change of
/// the work also raises the latency, but a lower limit does not help against
/// it; the floor bounds its cost to half of the slots.
constexpr std::uint32_t FloorDivisor = 2;

} // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t Slots)
    : Slots(Slots), Limit(Slots) {}

void AdaptiveLimit::reset() {
  this->Limit = this->Slots;
  this->LogRatioSum = 0;
  this->Successes = 0;
  this->Failures = 0;
}

void AdaptiveLimit::add(double LogRatio) {
  this->LogRatioSum += LogRatio;
  ++this->Successes;
  if (this->Successes + this->Failures >= WindowCalls)
    this->endWindow();
}

void AdaptiveLimit::addFailure() {
  ++this->Failures;
  if (this->Successes + this->Failures >= WindowCalls)
    this->endWindow();
}

void AdaptiveLimit::endWindow() {
  std::uint32_t Floor = (this->Slots + FloorDivisor - 1) / FloorDivisor;
  double MeanLogRatio =
      this->Successes ? this->LogRatioSum / this->Successes : 0;
  bool IsSlow = MeanLogRatio > SlowLogRatio ||
                this->Failures > MaxFailureFraction * WindowCalls;
  if (IsSlow)
    this->Limit = std::max(Floor, this->Limit - (this->Limit + 9) / 10);
  else if (MeanLogRatio < RaiseLogRatio)
    this->Limit = std::min(this->Slots, this->Limit + 1);
  this->LogRatioSum = 0;
  this->Successes = 0;
  this->Failures = 0;
}

} // namespace amaranthward
