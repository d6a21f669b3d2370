#include "libpolicy/warmupramp.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace amaranthward {

namespace {

/// Calls in one measurement. With a log standard deviation of 0.4 the
/// comparison has a standard error of 9%, and of 7% with the calls carried over
/// from the previous step.
constexpr std::uint32_t WindowCalls = 32;
/// A call is measured only when at least this fraction of the limit was in use.
constexpr double MinLimitUse = 0.66;
/// Growth of latency with the square of the load (at full load, as a fraction)
/// that counts as the normal effect of load. More growth indicates queueing.
constexpr double ExpectedGrowth = 0.5;
/// The same once the upstream has finished warming up, when even strong growth
/// does not indicate a cold upstream.
constexpr double SettledGrowth = 1.0;
/// Log latency difference below which a change counts as noise.
constexpr double NoiseMargin = 0.03;
/// The level is halved when the failures of one step exceed this number plus
/// this fraction of its calls; the fraction is for upstreams that always fail
/// some calls.
constexpr double MaxFailures = 2;
constexpr double MaxFailureFraction = 0.1;
/// Weight of a step's measurements in the next step at the same level.
constexpr double CarriedFraction = 0.5;
/// The upstream has finished warming up when its log latency improves by less
/// than this over the warm-up time divided by the second constant.
constexpr double MinLogImprovement = 0.05;
constexpr int SettledIntervalDivisor = 4;

/// Mean difference of the log latencies of two windows, weighted over the
/// routes that have calls in both; none when there are too few calls.
template <typename Sums>
std::optional<double> meanLogDifference(const Sums &Later,
                                        const Sums &Earlier) {
  double Total = 0;
  double Weight = 0;
  for (std::size_t I = 0; I < std::min(Later.size(), Earlier.size()); ++I) {
    if (Later[I].Count == 0 || Earlier[I].Count == 0)
      continue;
    double PairWeight = 1.0 / (1.0 / Later[I].Count + 1.0 / Earlier[I].Count);
    Total += PairWeight * (Later[I].Log / Later[I].Count -
                           Earlier[I].Log / Earlier[I].Count);
    Weight += PairWeight;
  }
  if (Weight < WindowCalls / 8.0)
    return std::nullopt;
  return Total / Weight;
}

} // namespace

WarmUpRamp::WarmUpRamp(std::uint32_t Slots, Duration WarmUp, Instant Now)
    : Slots(Slots), WarmUp(WarmUp) {
  this->restart(Now);
}

void WarmUpRamp::restart(Instant Now) {
  this->Level = 1;
  this->Warm = false;
  this->Start = Now;
  this->HasSettled = false;
  this->LastFull = Window();
  this->beginLevel(Now);
}

double WarmUpRamp::recentLogLatency(std::uint32_t Route) const {
  if (Route >= this->LastFull.ByRoute.size() ||
      this->LastFull.ByRoute[Route].Count == 0)
    return 0;
  return this->LastFull.ByRoute[Route].Log /
         this->LastFull.ByRoute[Route].Count;
}

std::uint32_t WarmUpRamp::limit() const {
  return this->MeasuringLow ? this->lowLevel() : this->Level;
}

// When the limit was lowered for the low-load measurement, full load is
// measured before and after it. The upstream becomes warmer meanwhile, which
// would otherwise be mistaken for an effect of load.
std::uint32_t WarmUpRamp::fullWindowCalls() const {
  return this->MeasuredLow ? 2 * WindowCalls : WindowCalls;
}

void WarmUpRamp::beginStep() {
  this->MeasuringLow = false;
  this->MeasuredLow = false;
  ++this->StepNumber;
  for (Window *Next : {&this->Low, &this->Full}) {
    Next->Count = 0;
    Next->Failures = 0;
    Next->AboveExpected *= CarriedFraction;
    Next->Expected *= CarriedFraction;
    for (Sum &RouteSum : Next->ByRoute) {
      RouteSum.Log *= CarriedFraction;
      RouteSum.Count *= CarriedFraction;
    }
  }
}

void WarmUpRamp::beginLevel(Instant Now) {
  this->LevelSince = Now;
  this->Low = Window();
  this->Full = Window();
  this->Earlier = Window();
  this->beginStep();
}

void WarmUpRamp::addToWindow(Window &Target, const RampSample &Sample) {
  if (Sample.Route >= Target.ByRoute.size())
    Target.ByRoute.resize(Sample.Route + 1);
  Target.ByRoute[Sample.Route].Log += Sample.LogLatency;
  ++Target.ByRoute[Sample.Route].Count;
  ++Target.Count;
  if (Sample.LogExpected > 0) {
    Target.AboveExpected += Sample.LogLatency - Sample.LogExpected;
    ++Target.Expected;
  }
}

void WarmUpRamp::add(const RampSample &Sample, Instant Now) {
  if (this->Warm)
    return;
  if (Sample.Failed) {
    double Calls = this->Full.Count + this->Low.Count;
    if (++this->Full.Failures > MaxFailures + MaxFailureFraction * Calls)
      this->lowerLevel(Now);
    return;
  }
  if (Sample.Step != this->StepNumber)
    return;
  std::uint32_t PeakInFlight = std::max(Sample.InFlight, Sample.InFlightAtEnd);
  std::uint32_t LowLevel = this->lowLevel();
  // The maximum of both counts, because calls that come in batches see few
  // other calls at their start or at their end.
  if (PeakInFlight >= MinLimitUse * this->Level)
    this->addToWindow(this->Full, Sample);
  else if (PeakInFlight <= LowLevel && PeakInFlight >= MinLimitUse * LowLevel)
    this->addToWindow(this->Low, Sample);
  bool LowComplete = this->Level == 1 || this->Low.Count >= WindowCalls;
  if (this->MeasuringLow && LowComplete)
    this->MeasuringLow = false;
  if (this->MeasuringLow || this->Full.Count < this->fullWindowCalls())
    return;
  if (!this->paceAllows(Now)) {
    this->LastFull = this->Full;
    this->beginStep();
    return;
  }
  if (LowComplete)
    return this->endStep(Now);
  this->MeasuringLow = true;
  this->MeasuredLow = true;
}

void WarmUpRamp::endStep(Instant Now) {
  this->LastFull = this->Full;
  bool Settled = this->isSettled(Now);
  bool Ready = Settled || (this->baselineKnown() ? this->baselineAllows()
                                                 : this->trendAllows(Now) &&
                                                       this->latencyAllows());
  if (Ready)
    this->raiseLevel(Now);
  else
    this->beginStep();
}

// The first level takes twice the time: at one call there is no lower load to
// compare with, so the declared time is the only protection.
bool WarmUpRamp::paceAllows(Instant Now) const {
  std::uint32_t Levels = this->Slots + 1;
  Duration PerLevel = this->WarmUp / Levels;
  Duration MinTime = this->Level == 1 ? PerLevel * 2 : PerLevel;
  return Now - this->LevelSince >= MinTime;
}

bool WarmUpRamp::baselineKnown() const {
  return this->Full.Expected >= WindowCalls / 2.0;
}

// A cold upstream is slower per call and also runs fewer calls concurrently.
// Both raise the latency, so the capacity is assumed to fall with its square.
bool WarmUpRamp::baselineAllows() const {
  double LogRatio =
      this->Full.AboveExpected / this->Full.Expected - NoiseMargin;
  if (LogRatio <= 0)
    return true;
  return this->Slots * std::exp(-2 * LogRatio) >= this->Level + 1 &&
         this->latencyAllows();
}

// When the latency still improves after twice the declared time, the declared
// time is too short to protect the upstream.
bool WarmUpRamp::trendAllows(Instant Now) const {
  return Now - this->Start < this->WarmUp * 2 || this->HasSettled;
}

bool WarmUpRamp::latencyAllows() const {
  if (this->Level == 1)
    return true;
  std::optional<double> Growth =
      meanLogDifference(this->Full.ByRoute, this->Low.ByRoute);
  if (!Growth)
    return false;
  double High = static_cast<double>(this->Level) / this->Slots;
  double Low = static_cast<double>(this->lowLevel()) / this->Slots;
  double GrowthFactor = this->HasSettled ? SettledGrowth : ExpectedGrowth;
  double ExpectedLogGrowth = std::log1p(GrowthFactor * High * High) -
                             std::log1p(GrowthFactor * Low * Low);
  return *Growth <= ExpectedLogGrowth + NoiseMargin;
}

bool WarmUpRamp::isSettled(Instant Now) {
  if (this->Earlier.Count == 0) {
    this->Earlier = this->Full;
    this->EarlierAt = Now;
    return false;
  }
  if (Now - this->EarlierAt < this->WarmUp / SettledIntervalDivisor)
    return false;
  std::optional<double> Change =
      meanLogDifference(this->Full.ByRoute, this->Earlier.ByRoute);
  this->Earlier = this->Full;
  this->EarlierAt = Now;
  bool Settled = Change && *Change > -MinLogImprovement &&
                 this->Full.Failures <= MaxFailures;
  if (Settled && Now - this->Start >= this->WarmUp)
    this->HasSettled = true;
  return Settled;
}

void WarmUpRamp::raiseLevel(Instant Now) {
  if (this->Level == this->Slots) {
    this->Warm = true;
    this->MeasuringLow = false;
    ++this->StepNumber;
    return;
  }
  ++this->Level;
  this->beginLevel(Now);
}

void WarmUpRamp::lowerLevel(Instant Now) {
  this->Level = std::max(1U, this->Level / 2);
  this->beginLevel(Now);
}

} // namespace amaranthward
