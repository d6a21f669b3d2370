#include "libpolicy/admissiongate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace amaranthward {

namespace {

/// A warm baseline that the upstream has not come back to after this multiple
/// of its warm-up time is no longer believed: the work has changed.
constexpr int BaselineTrust = 3;

double logMicros(Duration Time) {
  return std::log(
      static_cast<double>(std::max<Duration::rep>(1, Time.count())));
}

} // namespace

void AdmissionControl::Impl::observe(const Running &Call, UpstreamResult Result,
                                     Duration Latency, Instant Now) {
  if (Result == UpstreamResult::Cancelled)
    return;
  bool Failed = Result == UpstreamResult::Failure;
  double LogLatency = logMicros(Latency);
  if (!this->Ramp.isWarm())
    this->Ramp.add({Call.Route, Call.InFlight,
                    static_cast<std::uint32_t>(this->Calls.size()) + 1,
                    Call.RampStep, Failed, LogLatency,
                    this->Baseline.expected(Call.Route, Call.InFlight)},
                   Now);
  this->Detector.addOutcome(Failed);
  if (Failed) {
    this->Adaptive.addFailure();
    return;
  }
  this->Times.add(Call.Route, Latency, Now);
  this->observeSuccess(Call, LogLatency);
}

void AdmissionControl::Impl::observeSuccess(const Running &Call,
                                            double LogLatency) {
  if (Call.LogExpected > 0) {
    double Above = LogLatency - Call.LogExpected;
    this->Detector.addLatency(Above, this->Baseline.variance(Call.Route));
    if (this->Detector.isQuiet())
      this->Baseline.learnSpread(Call.Route, Above);
    if (this->Ramp.isWarm())
      this->Adaptive.add(Above);
  }
  if (this->Ramp.isWarm() && this->Detector.isQuiet())
    this->Baseline.learn(Call.Route, Call.InFlight, LogLatency);
}

double AdmissionControl::Impl::overdue(Instant Now) const {
  double Sum = 0;
  for (const Running &Call : this->Calls) {
    if (Call.LogExpected <= 0)
      continue;
    double Above = logMicros(Now - Call.Start) - Call.LogExpected;
    Sum += ColdDetector::overdue(Above, this->Baseline.variance(Call.Route));
  }
  return Sum;
}

void AdmissionControl::Impl::watch(Instant Now, AdmissionActions &Actions) {
  if (!this->Ramp.isWarm() && this->ColdSince &&
      Now - *this->ColdSince > BaselineTrust * this->Settings.WarmUp)
    this->Baseline.clear();
  if (this->declaresWarmth() || this->Ramp.level() == 1 ||
      !this->Detector.isCold(this->overdue(Now)))
    return;
  ++this->ColdAgain;
  this->becomeCold(Now);
  this->cancelExcess(Now, Actions);
}

// What runs already is more than the cold upstream can bear. The calls that
// matter least go first, and among them the ones that ran for the least time.
void AdmissionControl::Impl::cancelExcess(Instant Now,
                                          AdmissionActions &Actions) {
  std::vector<Running *> Order;
  for (Running &Call : this->Calls)
    if (Call.Cancellable && !Call.Cancelled)
      Order.push_back(&Call);
  std::sort(Order.begin(), Order.end(), [](const Running *L, const Running *R) {
    return std::tie(L->Class, L->Start, L->Ticket) >
           std::tie(R->Class, R->Start, R->Ticket);
  });
  std::size_t Left = this->Calls.size();
  for (Running *Call : Order) {
    if (Left-- <= this->limit(Now))
      return;
    Call->Cancelled = true;
    Actions.Cancel.push_back(Call->Ticket);
  }
}

void AdmissionControl::Impl::becomeCold(Instant Now) {
  this->Ramp.restart(Now);
  this->Detector.reset();
  this->Adaptive.reset();
  this->ColdSince = Now;
}

} // namespace amaranthward
