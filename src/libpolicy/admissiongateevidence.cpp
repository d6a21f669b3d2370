#include "libpolicy/admissiongate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace amaranthward {

namespace {

/// When the upstream is not warm again after this multiple of its warm-up time,
/// the warm baseline is discarded: the work of the calls must have changed.
constexpr int BaselineExpiryWarmUps = 3;

/// Natural logarithm of a time in microseconds; times below 1 us count as 1 us.
double logMicros(Duration Time) {
  return std::log(
      static_cast<double>(std::max<Duration::rep>(1, Time.count())));
}

} // namespace

void AdmissionControl::Impl::recordOutcome(const Running &Call,
                                           UpstreamResult Result,
                                           Duration Latency, Instant Now) {
  if (Result == UpstreamResult::Cancelled)
    return;
  bool Failed = Result == UpstreamResult::Failure;
  double LogLatency = logMicros(Latency);
  if (!this->Ramp.isWarm())
    this->Ramp.add({Call.Route, Call.InFlight,
                    static_cast<std::uint32_t>(this->RunningCalls.size()) + 1,
                    Call.RampStep, Failed, LogLatency,
                    this->Baseline.expected(Call.Route, Call.InFlight)},
                   Now);
  this->Detector.addOutcome(Failed);
  if (Failed) {
    this->Adaptive.addFailure();
    return;
  }
  this->Times.add(Call.Route, Latency, Now);
  this->recordSuccess(Call, LogLatency);
}

void AdmissionControl::Impl::recordSuccess(const Running &Call,
                                           double LogLatency) {
  if (Call.LogExpected > 0) {
    double LogRatio = LogLatency - Call.LogExpected;
    this->Detector.addLatency(LogRatio, this->Baseline.variance(Call.Route));
    if (this->Detector.isStable())
      this->Baseline.addDeviation(Call.Route, LogRatio);
    if (this->Ramp.isWarm())
      this->Adaptive.add(LogRatio);
  }
  if (this->Ramp.isWarm() && this->Detector.isStable())
    this->Baseline.add(Call.Route, Call.InFlight, LogLatency);
}

double AdmissionControl::Impl::overdueEvidence(Instant Now) const {
  double Sum = 0;
  for (const Running &Call : this->RunningCalls) {
    if (Call.LogExpected <= 0)
      continue;
    double LogRatio = logMicros(Now - Call.Start) - Call.LogExpected;
    Sum += ColdDetector::overdueEvidence(LogRatio,
                                         this->Baseline.variance(Call.Route));
  }
  return Sum;
}

void AdmissionControl::Impl::detectColdUpstream(Instant Now,
                                                AdmissionActions &Actions) {
  if (!this->Ramp.isWarm() && this->ColdSince &&
      Now - *this->ColdSince > BaselineExpiryWarmUps * this->Settings.WarmUp)
    this->Baseline.clear();
  if (this->declaresColdRate() || this->Ramp.level() == 1 ||
      !this->Detector.isCold(this->overdueEvidence(Now)))
    return;
  ++this->ColdDetections;
  this->becomeCold(Now);
  this->cancelExcess(Now, Actions);
}

// A cold upstream cannot handle the calls that were started while it was warm.
// Cancels the lowest class first and within a class the latest starts, as they
// lose the least work.
void AdmissionControl::Impl::cancelExcess(Instant Now,
                                          AdmissionActions &Actions) {
  std::vector<Running *> Order;
  for (Running &Call : this->RunningCalls)
    if (Call.Cancellable && !Call.Cancelled)
      Order.push_back(&Call);
  std::sort(Order.begin(), Order.end(),
            [](const Running *Left, const Running *Right) {
              return std::tie(Left->Class, Left->Start, Left->Ticket) >
                     std::tie(Right->Class, Right->Start, Right->Ticket);
            });
  std::size_t Remaining = this->RunningCalls.size();
  for (Running *Call : Order) {
    if (Remaining-- <= this->limit(Now))
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
