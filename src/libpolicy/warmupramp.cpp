#include "libpolicy/warmupramp.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace amaranthward {

namespace {

/// Calls in one measurement. With a log standard deviation of 0.4 the
/// comparison is good to 9%, and to 7% with what is carried over.
constexpr std::uint32_t WindowCalls = 32;
/// Calls count only when at least this part of the limit was in use.
constexpr double LeastUse = 0.66;
/// Growth of latency with the square of the load, as far as it is taken for
/// the ordinary effect of load and not for queueing.
constexpr double OrdinaryGrowth = 0.5;
/// The same once the upstream has stopped warming up: then even strong growth
/// is not a sign of a cold upstream.
constexpr double SettledGrowth = 1.0;
constexpr double Noise = 0.03;
/// Failures in one step beyond which the level is halved: a number, and a part
/// of the calls for upstreams that always fail some.
constexpr double MostFailures = 2;
constexpr double MostFailuresPart = 0.1;
/// Part of a measurement that counts in the next one at the same level.
constexpr double Carried = 0.5;
/// Improvement below which the upstream no longer warms up, and the part of
/// the warm-up time over which it is measured.
constexpr double SettledChange = 0.05;
constexpr int SettledPart = 4;

/// Mean difference of log latencies, weighted over the routes that both saw.
template <typename Sums>
std::optional<double> difference(const Sums &Later, const Sums &Before) {
  double Total = 0;
  double Weight = 0;
  for (std::size_t I = 0; I < std::min(Later.size(), Before.size()); ++I) {
    if (Later[I].Count == 0 || Before[I].Count == 0)
      continue;
    double Both = 1.0 / (1.0 / Later[I].Count + 1.0 / Before[I].Count);
    Total += Both *
             (Later[I].Log / Later[I].Count - Before[I].Log / Before[I].Count);
    Weight += Both;
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
  this->SettledOnce = false;
  this->Last = Window();
  this->beginLevel(Now);
}

double WarmUpRamp::recent(std::uint32_t Route) const {
  if (Route >= this->Last.ByRoute.size() ||
      this->Last.ByRoute[Route].Count == 0)
    return 0;
  return this->Last.ByRoute[Route].Log / this->Last.ByRoute[Route].Count;
}

std::uint32_t WarmUpRamp::limit() const {
  return this->AtLow ? this->lowLevel() : this->Level;
}

// When the limit went down for the low measurement, full load is measured
// before and after it: the upstream became warmer meanwhile, which would
// otherwise look like an effect of load.
std::uint32_t WarmUpRamp::fullCalls() const {
  return this->WasLow ? 2 * WindowCalls : WindowCalls;
}

void WarmUpRamp::beginStep() {
  this->AtLow = false;
  this->WasLow = false;
  ++this->StepNumber;
  for (Window *Next : {&this->Low, &this->Full}) {
    Next->Count = 0;
    Next->Failures = 0;
    Next->AboveExpected *= Carried;
    Next->Expected *= Carried;
    for (Sum &One : Next->ByRoute) {
      One.Log *= Carried;
      One.Count *= Carried;
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

void WarmUpRamp::put(Window &Into, const RampSample &Sample) {
  if (Sample.Route >= Into.ByRoute.size())
    Into.ByRoute.resize(Sample.Route + 1);
  Into.ByRoute[Sample.Route].Log += Sample.LogLatency;
  ++Into.ByRoute[Sample.Route].Count;
  ++Into.Count;
  if (Sample.LogExpected > 0) {
    Into.AboveExpected += Sample.LogLatency - Sample.LogExpected;
    ++Into.Expected;
  }
}

void WarmUpRamp::add(const RampSample &Sample, Instant Now) {
  if (this->Warm)
    return;
  if (Sample.Failed) {
    double Calls = this->Full.Count + this->Low.Count;
    if (++this->Full.Failures > MostFailures + MostFailuresPart * Calls)
      this->lower(Now);
    return;
  }
  if (Sample.Step != this->StepNumber)
    return;
  std::uint32_t Most = std::max(Sample.InFlight, Sample.InFlightAtEnd);
  std::uint32_t LowLevel = this->lowLevel();
  // Calls that start and end in batches are alone at one of the two moments.
  if (Most >= LeastUse * this->Level)
    this->put(this->Full, Sample);
  else if (Most <= LowLevel && Most >= LeastUse * LowLevel)
    this->put(this->Low, Sample);
  bool LowDone = this->Level == 1 || this->Low.Count >= WindowCalls;
  if (this->AtLow && LowDone)
    this->AtLow = false;
  if (this->AtLow || this->Full.Count < this->fullCalls())
    return;
  if (!this->paceAllows(Now)) {
    this->Last = this->Full;
    this->beginStep();
    return;
  }
  if (LowDone)
    return this->endStep(Now);
  this->AtLow = true;
  this->WasLow = true;
}

void WarmUpRamp::endStep(Instant Now) {
  this->Last = this->Full;
  bool Settled = this->isSettled(Now);
  bool Ready = Settled || (this->baselineKnown() ? this->baselineAllows()
                                                 : this->trendAllows(Now) &&
                                                       this->latencyAllows());
  if (Ready)
    this->raise(Now);
  else
    this->beginStep();
}

// The first step gets twice the time: at one call there is nothing to compare
// with, so the declared time is the only protection.
bool WarmUpRamp::paceAllows(Instant Now) const {
  std::uint32_t Steps = this->Slots + 1;
  Duration PerLevel = this->WarmUp / Steps;
  Duration Needed = this->Level == 1 ? PerLevel * 2 : PerLevel;
  return Now - this->LevelSince >= Needed;
}

bool WarmUpRamp::baselineKnown() const {
  return this->Full.Expected >= WindowCalls / 2.0;
}

// Slower per call and fewer calls at a time both show in the latency, so the
// capacity is taken to fall with its square.
bool WarmUpRamp::baselineAllows() const {
  double Above = this->Full.AboveExpected / this->Full.Expected - Noise;
  if (Above <= 0)
    return true;
  return this->Slots * std::exp(-2 * Above) >= this->Level + 1 &&
         this->latencyAllows();
}

// A latency that still improves after twice the declared time shows that the
// declaration is too short, so it is no longer a protection.
bool WarmUpRamp::trendAllows(Instant Now) const {
  return Now - this->Start < this->WarmUp * 2 || this->SettledOnce;
}

bool WarmUpRamp::latencyAllows() const {
  if (this->Level == 1)
    return true;
  std::optional<double> Growth =
      difference(this->Full.ByRoute, this->Low.ByRoute);
  if (!Growth)
    return false;
  double High = static_cast<double>(this->Level) / this->Slots;
  double Low = static_cast<double>(this->lowLevel()) / this->Slots;
  double Usual = this->SettledOnce ? SettledGrowth : OrdinaryGrowth;
  double Ordinary =
      std::log1p(Usual * High * High) - std::log1p(Usual * Low * Low);
  return *Growth <= Ordinary + Noise;
}

bool WarmUpRamp::isSettled(Instant Now) {
  if (this->Earlier.Count == 0) {
    this->Earlier = this->Full;
    this->EarlierAt = Now;
    return false;
  }
  if (Now - this->EarlierAt < this->WarmUp / SettledPart)
    return false;
  std::optional<double> Change =
      difference(this->Full.ByRoute, this->Earlier.ByRoute);
  this->Earlier = this->Full;
  this->EarlierAt = Now;
  bool Settled =
      Change && *Change > -SettledChange && this->Full.Failures <= MostFailures;
  if (Settled && Now - this->Start >= this->WarmUp)
    this->SettledOnce = true;
  return Settled;
}

void WarmUpRamp::raise(Instant Now) {
  if (this->Level == this->Slots) {
    this->Warm = true;
    this->AtLow = false;
    ++this->StepNumber;
    return;
  }
  ++this->Level;
  this->beginLevel(Now);
}

void WarmUpRamp::lower(Instant Now) {
  this->Level = std::max(1U, this->Level / 2);
  this->beginLevel(Now);
}

} // namespace amaranthward
