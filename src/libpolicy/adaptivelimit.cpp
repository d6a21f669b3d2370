#include "libpolicy/adaptivelimit.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr std::uint32_t WindowCalls = 32;
constexpr double SlowRatio = 0.30;  ///< log(1.35)
constexpr double ClearRatio = 0.14; ///< log(1.15)
constexpr double ManyFailures = 0.2;
/// A lasting change of the work is not queueing and does not respond to the
/// limit; with this floor it costs at most half of the slots.
constexpr std::uint32_t FloorPart = 2;

} // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t Slots)
    : Slots(Slots), Limit(Slots) {}

void AdaptiveLimit::reset() {
  this->Limit = this->Slots;
  this->Sum = 0;
  this->Count = 0;
  this->Failures = 0;
}

void AdaptiveLimit::add(double LogRatio) {
  this->Sum += LogRatio;
  ++this->Count;
  if (this->Count + this->Failures >= WindowCalls)
    this->endWindow();
}

void AdaptiveLimit::addFailure() {
  ++this->Failures;
  if (this->Count + this->Failures >= WindowCalls)
    this->endWindow();
}

void AdaptiveLimit::endWindow() {
  std::uint32_t Floor = (this->Slots + FloorPart - 1) / FloorPart;
  double Mean = this->Count ? this->Sum / this->Count : 0;
  bool Slow = Mean > SlowRatio || this->Failures > ManyFailures * WindowCalls;
  if (Slow)
    this->Limit = std::max(Floor, this->Limit - (this->Limit + 9) / 10);
  else if (Mean < ClearRatio)
    this->Limit = std::min(this->Slots, this->Limit + 1);
  this->Sum = 0;
  this->Count = 0;
  this->Failures = 0;
}

} // namespace amaranthward
