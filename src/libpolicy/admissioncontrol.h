#ifndef AMARANTHWARD_LIBPOLICY_ADMISSIONCONTROL_H
#define AMARANTHWARD_LIBPOLICY_ADMISSIONCONTROL_H

#include "libcore/callclass.h"
#include "libcore/ids.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthward {

/// Identifies a call at one gate from its request to its completion.
using AdmissionTicket = StrongNumber<struct AdmissionTicketTag>;

struct AdmissionSettings {
  /// Maximum number of calls that the upstream runs concurrently.
  std::uint32_t Slots = 9;
  /// Maximum number of calls that wait for a slot; 0 for no queue. While the
  /// limit is below the slots, the queue is smaller in proportion.
  std::uint32_t Queue = 64;
  /// Declared time from a cold start to full load. It is the minimum duration
  /// of the ramp, which takes longer while latency shows that the upstream is
  /// not ready.
  Duration WarmUp = std::chrono::seconds(10);
};

struct AdmissionRequest {
  CallClass Class = CallClass::Interactive;
  Instant Deadline;
  /// Latency is measured per route and compared only within one route.
  RouteName Route;
  /// The call is idempotent, so it may be cancelled while it runs in order to
  /// relieve an upstream that was found cold under load.
  bool Cancellable = false;
  /// Within a class, calls with a lower rank start first.
  std::uint32_t Rank = 0;
  /// Latency objective as a point in time; max() for none. A call with an
  /// objective is refused when the mean service time of its route does not fit
  /// before its deadline; a call without one, when the minimum does not.
  Instant Objective = Instant::max();
};

enum class AdmissionVerdict { Admit, Queue, Refuse };

enum class RefusalReason {
  None,
  /// The upstream is leaving or its zone is out of service.
  Leaving,
  /// The deadline would pass before a response could arrive.
  DeadlineTooShort,
  /// The queue has no room for a call of this class.
  QueueFull,
  /// The gate is overloaded (see OverloadGuard) and the call would miss its
  /// objective.
  Overloaded,
  /// Displaced from the queue by a call of higher priority.
  Displaced,
};

const char *toString(RefusalReason Reason);

struct AdmissionDecision {
  AdmissionVerdict Verdict = AdmissionVerdict::Refuse;
  /// Valid unless refused.
  AdmissionTicket Ticket;
  RefusalReason Reason = RefusalReason::None;
  /// Estimated time until this gate has room; zero when a retry at this gate
  /// would not help.
  Duration RetryAfter = Duration::zero();
};

/// Actions that the caller has to carry out for earlier calls. Every queued
/// ticket appears exactly once in Start or Refused, unless it was cancelled
/// with cancelQueued().
struct AdmissionActions {
  /// Queued calls to be sent to the upstream now. Each one must be ended with
  /// complete().
  std::vector<AdmissionTicket> Start;
  struct Refusal {
    AdmissionTicket Ticket;
    RefusalReason Reason = RefusalReason::None;
  };
  /// Running calls to be cancelled at the upstream because it was found cold,
  /// bulk calls first. Contains only calls marked as Cancellable. Each one must
  /// be ended with complete() and UpstreamResult::Cancelled.
  std::vector<AdmissionTicket> Cancel;
  /// Queued calls that were not run. These tickets are no longer valid.
  std::vector<Refusal> Refused;
};

enum class UpstreamResult {
  Success,
  /// A failure response, a broken connection or a timeout.
  Failure,
  /// Cancelled by the caller; not counted as a result of the upstream.
  Cancelled,
};

enum class WarmthPhase { Cold, Warming, Warm };

struct AdmissionStatus {
  WarmthPhase Phase = WarmthPhase::Cold;
  bool Leaving = false;
  /// Maximum number of running calls at present: the minimum of slots, ramp,
  /// adaptive limit and load hint, or the slots alone when the upstream
  /// declares a rate.
  std::uint32_t Limit = 0;
  /// Limit of the warm-up ramp alone.
  std::uint32_t Ramp = 0;
  /// Limit from the latency of the warm upstream alone.
  std::uint32_t Adaptive = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /// Number of times that the upstream was found cold under load.
  std::uint64_t ColdDetections = 0;
};

/// Admission control of one upstream: decides which calls it may run and when.
/// The times passed to the methods must not decrease.
class AdmissionControl {
public:
  /// Fails with InvalidArgument when there are no slots or the warm-up time is
  /// negative. The upstream is assumed to be cold.
  /// \param StartsKnownSince time since which every call to the upstream went
  /// through this object. Earlier calls are unknown, so a cold upstream that
  /// declares a rate gets no call in the second after this time.
  static Result<AdmissionControl> create(const AdmissionSettings &Settings,
                                         Instant StartsKnownSince = Instant());

  AdmissionControl(AdmissionControl &&) noexcept;
  AdmissionControl &operator=(AdmissionControl &&) noexcept;
  ~AdmissionControl();

  /// Decides on one call. A queued call is started or refused by the actions of
  /// a later request(), complete() or advance(). Actions for earlier calls that
  /// result from this request (a displaced ticket, expired calls,
  /// cancellations) are appended to \a Actions.
  AdmissionDecision request(const AdmissionRequest &Call, Instant Now,
                            AdmissionActions &Actions);

  /// Ends a started call. \a UpstreamTime is the time from the last request
  /// byte to the first response byte; when absent, the time since the start of
  /// the call is used. Unknown tickets are ignored.
  AdmissionActions complete(AdmissionTicket Ticket, UpstreamResult Result,
                            std::optional<Duration> UpstreamTime, Instant Now);

  /// Removes a queued call whose caller cancelled it. Unknown tickets are
  /// ignored.
  void cancelQueued(AdmissionTicket Ticket);

  /// Refuses queued calls that can no longer end before their deadline and
  /// starts calls for which there is room. Must be called at nextWake() at the
  /// latest.
  AdmissionActions advance(Instant Now);
  /// Time of the next due advance(); none while no call is queued.
  std::optional<Instant> nextWake() const;

  /// Sets the load that the upstream reports, 1 for full load. It can only
  /// lower the limit of a warm upstream, to no less than half, and expires
  /// after LoadHintTimeout.
  void hintLoad(double Load, Instant Now);

  /// Sets what the upstream declares about itself: that it stays cold for
  /// \a ColdFor (zero when it is warm) and takes \a CallsPerSecond until then.
  /// When the rate is positive, only the slots and this rate limit the
  /// upstream, not the ramp or the measured latency.
  void declareCold(Duration ColdFor, double CallsPerSecond, Instant Now);

  /// Sets whether some slots are reserved for urgent calls; on by default. To
  /// be turned off when no route to the upstream is urgent, as the reserved
  /// slots would stay idle.
  void reserveForUrgent(bool Enabled);

  /// Refuses new calls from now on. Queued calls may start for LeavingGrace and
  /// are then refused; running calls finish.
  void leave(Instant Now);
  /// Puts the upstream back in service, after a new announcement or the return
  /// of its zone. It is assumed to be cold.
  void restore(Instant Now);
  /// Starts anew for a replaced upstream process: assumes that it is cold and
  /// discards the latency baselines.
  void resetUpstream(Instant Now);

  AdmissionStatus status(Instant Now) const;

  /// Time after which a load report no longer counts.
  static constexpr Duration LoadHintTimeout = std::chrono::seconds(2);
  /// Time after leave() in which queued calls may still start.
  static constexpr Duration LeavingGrace = std::chrono::milliseconds(1500);

private:
  class Impl;
  explicit AdmissionControl(std::unique_ptr<Impl> Body);
  std::unique_ptr<Impl> Body;
};

} // namespace amaranthward

#endif
