#ifndef AMARANTHWARD_LIBPOLICY_ADMISSIONGATE_H
#define AMARANTHWARD_LIBPOLICY_ADMISSIONGATE_H

#include "libpolicy/adaptivelimit.h"
#include "libpolicy/admissioncontrol.h"
#include "libpolicy/admissionqueue.h"
#include "libpolicy/colddetector.h"
#include "libpolicy/coldrate.h"
#include "libpolicy/latencybaseline.h"
#include "libpolicy/overloadguard.h"
#include "libpolicy/servicetimes.h"
#include "libpolicy/warmupramp.h"
#include <array>
#include <unordered_map>

namespace amaranthward {

/// Body of AdmissionControl; see there for the contract of each method.
class AdmissionControl::Impl {
public:
  Impl(const AdmissionSettings &Settings, Instant KnownSince);

  AdmissionDecision request(const AdmissionRequest &Call, Instant Now,
                            AdmissionActions &Actions);
  AdmissionActions complete(AdmissionTicket Ticket, UpstreamResult Result,
                            std::optional<Duration> UpstreamTime, Instant Now);
  void cancelQueued(AdmissionTicket Ticket);
  AdmissionActions advance(Instant Now);
  std::optional<Instant> nextWake() const;
  void hintLoad(double Load, Instant Now);
  void declareCold(Duration For, double CallsPerSecond, Instant Now);
  void reserveForUrgent(bool Wanted) { this->HasUrgent = Wanted; }
  void leave(Instant Now);
  void restore(Instant Now);
  void resetUpstream(Instant Now);
  AdmissionStatus status(Instant Now) const;

private:
  struct Running {
    AdmissionTicket Ticket;
    CallClass Class;
    std::uint32_t Route;
    std::uint32_t InFlight;
    std::uint64_t RampStep;
    Instant Start;
    double LogExpected;
    bool Cancellable;
    bool Cancelled;
  };

  std::uint32_t routeIndex(const RouteName &Route);
  /// The upstream says itself when it is cold.
  bool declaresWarmth() const { return this->Cold.isDeclared(); }
  std::uint32_t limit(Instant Now) const;
  bool canStart(CallClass Class, Instant Now) const;
  void start(const AdmissionQueue::Waiting &Call, Instant Now);
  /// Time that the call needs at the upstream, so that starting it later than
  /// that before its deadline would be in vain.
  Duration needed(const AdmissionQueue::Waiting &Call, Instant Now) const;
  AdmissionQueue::NeededTime neededAt(Instant Now) const;
  /// Estimated time until a call that is added now would start. \a Turn is the
  /// mean time between two starts.
  Duration waitFor(const AdmissionQueue::Waiting &Call, Duration Turn) const;
  AdmissionDecision enqueue(AdmissionQueue::Waiting Call, Instant Now,
                            AdmissionActions &Actions);
  /// Starts waiting calls for which there is room. After refuseHopeless() at
  /// the same time all of them can still end in time.
  void startWaiting(Instant Now, AdmissionActions &Actions);
  void refuseHopeless(Instant Now, AdmissionActions &Actions);
  /// Lowers the limit when calls show that the upstream is cold.
  void watch(Instant Now, AdmissionActions &Actions);
  void cancelExcess(Instant Now, AdmissionActions &Actions);
  double overdue(Instant Now) const;
  void observe(const Running &Call, UpstreamResult Result, Duration Latency,
               Instant Now);
  void observeSuccess(const Running &Call, double LogLatency);
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
  ColdRate Cold;
  std::vector<Running> Calls;
  std::array<std::uint32_t, 3> RunningByClass{};
  std::unordered_map<RouteName, std::uint32_t> RouteNumbers;
  std::uint64_t NextTicket = 1;
  std::uint64_t ColdAgain = 0;
  bool HasUrgent = true;
  std::optional<Instant> LeavingSince;
  /// None before the first call: the warm-up time counts from there.
  std::optional<Instant> ColdSince;
  double LoadHint = 0;
  Instant LoadHintAt;
  /// When hopeless calls were last looked for.
  Instant LastCheck;
  /// When a waiting call may start at a cold upstream.
  std::optional<Instant> ColdStartAt;
};

} // namespace amaranthward

#endif
