#include "upstreammodel.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Longest step over which warmth and speed are taken as constant.
constexpr Duration Step = std::chrono::milliseconds(5);
constexpr Duration DownTime = std::chrono::seconds(3);
constexpr Duration DownLatency = std::chrono::milliseconds(300);
constexpr double StressLimit = 0.3;
constexpr Duration ReportLag = std::chrono::seconds(2);

} // namespace

UpstreamModel::UpstreamModel(const UpstreamModelSettings &Settings,
                             RandomFunction Random)
    : Settings(Settings), Random(std::move(Random)),
      Warmth(Settings.StartsWarm ? 1 : 0) {}

double UpstreamModel::uniform() {
  return static_cast<double>(this->Random() >> 11) * 0x1p-53;
}

double UpstreamModel::capacity() const {
  return this->Settings.ColdCapacity +
         (this->Settings.Slots - this->Settings.ColdCapacity) * this->Warmth;
}

double UpstreamModel::load() const {
  return static_cast<double>(this->Calls.size()) / this->capacity();
}

double UpstreamModel::speed() const {
  double Cold = 1 + (this->Settings.ColdSlowdown - 1) * (1 - this->Warmth);
  double Load = this->load();
  double Growth = this->Settings.LoadGrowth;
  double Slowed =
      Load <= 1 ? 1 + Growth * Load * Load : (1 + Growth) * Load * Load;
  return 1 / (Cold * Slowed);
}

void UpstreamModel::start(std::uint64_t Id, Duration Work, Instant Now) {
  this->run(Now);
  if (this->Calls.size() >= this->Settings.Connections) {
    ++this->Failures;
    this->Ended.push_back({Id, true, Now});
    return;
  }
  Call New;
  New.End = this->Progress + static_cast<double>(Work.count());
  if (this->isDown(Now)) {
    New.End = this->Progress + static_cast<double>(DownLatency.count());
    New.Fails = true;
  }
  if (this->Settings.FailureRate > 0 &&
      this->uniform() < this->Settings.FailureRate)
    New.Fails = true;
  this->Calls.emplace(Id, New);
  if (this->load() > 1 + 1e-9) {
    if (this->Warmth < 1)
      ++this->Above;
    if (this->uniform() < std::min(0.5, (this->load() - 1) / 2))
      this->Calls[Id].Fails = true;
  }
}

void UpstreamModel::cancel(std::uint64_t Id, Instant Now) {
  this->run(Now);
  this->Calls.erase(Id);
}

void UpstreamModel::run(Instant Until) {
  while (this->Time < Until) {
    Duration Left = std::min(Until - this->Time, Step);
    double Speed = this->isDown(this->Time) ? 1 : this->speed();
    double First = -1;
    for (const auto &[Id, One] : this->Calls)
      if (First < 0 || One.End < First)
        First = One.End;
    if (First >= 0) {
      auto Needed = Duration(
          static_cast<Duration::rep>((First - this->Progress) / Speed) + 1);
      Left = std::clamp(Needed, Duration(1), Left);
    }
    this->Time += Left;
    auto Micros = static_cast<double>(Left.count());
    this->Progress += Micros * Speed;
    if (!this->isDown(this->Time))
      this->Warmth = std::min(
          1.0, this->Warmth +
                   0.5 * Micros /
                       static_cast<double>(this->Settings.WarmTime.count()));
    double Excess = this->load() - 1;
    this->Stress = std::max(0.0, this->Stress + (Excess > 0 ? Excess : -0.5) *
                                                    Micros / 1e6);
    for (auto It = this->Calls.begin(); It != this->Calls.end();) {
      if (It->second.End > this->Progress) {
        ++It;
        continue;
      }
      this->Failures += It->second.Fails ? 1 : 0;
      this->Ended.push_back({It->first, It->second.Fails, this->Time});
      if (!It->second.Fails)
        this->Warmth =
            std::min(1.0, this->Warmth + 0.5 / this->Settings.WarmCalls);
      It = this->Calls.erase(It);
    }
    if (this->Stress > StressLimit && !this->isDown(this->Time))
      this->fall(this->Time);
  }
}

void UpstreamModel::fall(Instant Now) {
  ++this->Falls;
  for (const auto &[Id, One] : this->Calls)
    this->Ended.push_back({Id, true, Now});
  this->Failures += this->Calls.size();
  this->Calls.clear();
  this->DownUntil = Now + DownTime;
  this->Warmth = 0;
  this->Stress = 0;
}

std::vector<UpstreamModel::Finished> UpstreamModel::advance(Instant Now) {
  this->run(Now);
  std::vector<Finished> All;
  All.swap(this->Ended);
  return All;
}

std::optional<Instant> UpstreamModel::nextEvent() const {
  if (!this->Ended.empty())
    return this->Time;
  if (this->Calls.empty())
    return std::nullopt;
  double First = this->Calls.begin()->second.End;
  for (const auto &[Id, One] : this->Calls)
    First = std::min(First, One.End);
  double Speed = this->isDown(this->Time) ? 1 : this->speed();
  auto Needed = Duration(
      static_cast<Duration::rep>((First - this->Progress) / Speed) + 1);
  return this->Time + std::clamp(Needed, Duration(1), Step);
}

void UpstreamModel::turnCold(Instant Now) {
  this->run(Now);
  this->Warmth = 0;
}

double UpstreamModel::reportedLoad(Instant Now) {
  double Honest =
      static_cast<double>(this->Calls.size()) / this->Settings.Slots;
  switch (this->Settings.Report) {
  case LoadReport::Honest:
    return Honest;
  case LoadReport::AlwaysLow:
    return 0.1;
  case LoadReport::AlwaysFull:
    return 1.5;
  case LoadReport::Lagging:
    break;
  }
  double Old = this->Reported;
  if (Now - this->ReportedAt >= ReportLag) {
    this->Reported = Honest;
    this->ReportedAt = Now;
  }
  return Old;
}

} // namespace amaranthward
