#ifndef AMARANTHWARD_LIBPOLICY_ADMISSIONGATE_H
#define AMARANTHWARD_LIBPOLICY_ADMISSIONGATE_H

#include "libpolicy/adaptivelimit.h"
#include "libpolicy/admissioncontrol.h"
#include "libpolicy/admissionqueue.h"
#include "libpolicy/colddetector.h"
#include "libpolicy/coldratelimiter.h"
#include "libpolicy/latencybaseline.h"
#include "libpolicy/overloadguard.h"
#include "libpolicy/servicetimes.h"
#include "libpolicy/warmupramp.h"
#include <array>
#include <unordered_map>

namespace amaranthward {

/// Implementation of AdmissionControl, which documents the public methods.
class AdmissionControl::Impl {
public:
  Impl(const AdmissionSettings &Settings, Instant StartsKnownSince);

  AdmissionDecision request(const AdmissionRequest &Call, Instant Now,
                            AdmissionActions &Actions);
  AdmissionActions complete(AdmissionTicket Ticket, UpstreamResult Result,
                            std::optional<Duration> UpstreamTime, Instant Now);
  void cancelQueued(AdmissionTicket Ticket);
  AdmissionActions advance(Instant Now);
  std::optional<Instant> nextWake() const;
  void hintLoad(double Load, Instant Now);
  void declareCold(Duration ColdFor, double CallsPerSecond, Instant Now);
  void reserveForUrgent(bool Enabled) { this->ReserveUrgentSlots = Enabled; }
  void leave(Instant Now);
  void restore(Instant Now);
  void resetUpstream(Instant Now);
  AdmissionStatus status(Instant Now) const;

private:
  /// A call that was sent to the upstream and has not completed.
  struct Running {
    AdmissionTicket Ticket;
    CallClass Class;
    std::uint32_t Route;
    /// Running calls when it started, itself included.
    std::uint32_t InFlight;
    /// WarmUpRamp::step() when it started.
    std::uint64_t RampStep;
    Instant Start;
    /// Logarithm of the expected latency in microseconds; 0 when unknown.
    double LogExpected;
    bool Cancellable;
    bool Cancelled;
  };

  /// Index of the route in the measurements; 0 for routes over the limit.
  std::uint32_t routeIndex(const RouteName &Route);
  /// Whether the upstream itself declares when it is cold and at which rate.
  bool declaresColdRate() const { return this->Cold.isDeclared(); }
  /// See AdmissionStatus::Limit.
  std::uint32_t limit(Instant Now) const;
  /// Whether a call of the class may start now under the limit, the reserve for
  /// urgent calls, the cap on bulk calls and the rate of a cold upstream.
  bool canStart(CallClass Class, Instant Now) const;
  void start(const AdmissionQueue::Waiting &Call, Instant Now);
  /// Estimated service time of the call at the upstream: the mean of its route
  /// when it has an objective, else the minimum. A call whose remaining time is
  /// shorter cannot end before its deadline.
  Duration requiredTime(const AdmissionQueue::Waiting &Call, Instant Now) const;
  AdmissionQueue::RequiredTimeFunction requiredTimeAt(Instant Now) const;
  /// Estimated time until a call that is queued now would start.
  /// \param StartInterval mean time between two starts.
  Duration estimateWait(const AdmissionQueue::Waiting &Call,
                        Duration StartInterval) const;
  /// Queues a call that may not start now, or refuses it.
  AdmissionDecision enqueue(AdmissionQueue::Waiting Call, Instant Now,
                            AdmissionActions &Actions);
  /// Starts queued calls for which there is room. Must follow
  /// refuseInfeasible() at the same time, so that every call it starts can
  /// still end before its deadline.
  void startWaiting(Instant Now, AdmissionActions &Actions);
  /// Refuses queued calls that can no longer end before their deadline, and all
  /// queued calls once LeavingGrace is over.
  void refuseInfeasible(Instant Now, AdmissionActions &Actions);
  /// Restarts the ramp and cancels excess calls when completed and running
  /// calls show that the upstream became cold.
  void detectColdUpstream(Instant Now, AdmissionActions &Actions);
  /// Cancels running calls down to the limit.
  void cancelExcess(Instant Now, AdmissionActions &Actions);
  /// Sum of ColdDetector::overdueEvidence() over the running calls.
  double overdueEvidence(Instant Now) const;
  /// Adds a completed call to the measurements. Cancelled calls are ignored.
  void recordOutcome(const Running &Call, UpstreamResult Result,
                     Duration Latency, Instant Now);
  /// \param LogLatency logarithm of the latency in microseconds.
  void recordSuccess(const Running &Call, double LogLatency);
  /// Restarts the ramp, the cold detector and the adaptive limit.
  void becomeCold(Instant Now);
  std::uint32_t runningNonUrgent() const;

  AdmissionSettings Settings;
  LatencyBaseline Baseline;
  WarmUpRamp Ramp;
  ColdDetector Detector;
  AdaptiveLimit Adaptive;
  ServiceTimes Times;
  AdmissionQueue Queue;
  RouteShares Shares;
  OverloadGuard Overload;
  ColdRateLimiter Cold;
  /// Calls in flight at the upstream, in no particular order.
  std::vector<Running> RunningCalls;
  /// Number of running calls, indexed by CallClass.
  std::array<std::uint32_t, 3> RunningByClass{};
  /// Indexes that routeIndex() assigned.
  std::unordered_map<RouteName, std::uint32_t> RouteIndexes;
  std::uint64_t NextTicket = 1;
  std::uint64_t ColdDetections = 0;
  bool ReserveUrgentSlots = true;
  std::optional<Instant> LeavingSince;
  /// Start of the current warm-up. None before the first call, because the
  /// upstream does not warm up without calls.
  std::optional<Instant> ColdSince;
  /// Last reported load, 1 for full load, and when it arrived.
  double LoadHint = 0;
  Instant LoadHintAt;
  /// Time of the last refuseInfeasible(); nextWake() estimates service times as
  /// of then.
  Instant LastInfeasibleCheck;
  /// Earliest start of a queued call under the rate of a cold upstream; none
  /// when the rate permits a start at once.
  std::optional<Instant> NextStartWhileCold;
};

} // namespace amaranthward

#endif
