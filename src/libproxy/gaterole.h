#ifndef AMARANTHWARD_LIBPROXY_GATEROLE_H
#define AMARANTHWARD_LIBPROXY_GATEROLE_H

#include "libproxy/announcement.h"
#include "libproxy/proxystate.h"
#include "libproxy/requesttable.h"

namespace amaranthward {

struct GateOptions {
  NodeIdentity Self;
  HeaderNames Names;
  /// Service and address that the settings name for the upstream beside this
  /// node; empty: any.
  ServiceName OwnService;
  Endpoint OwnAddress;
  /// Time without an announcement after which the upstream is withdrawn.
  Duration AnnouncementTimeout = std::chrono::seconds(3);
  /// Interval of the interim responses to entries that wait for a response.
  /// Must be well below ForwardAttempt::GateIdleTimeout.
  Duration Heartbeat = std::chrono::milliseconds(200);
  /// How long a re-attach of a keyed request waits for the request itself. The
  /// entry that holds the claim may forward it after another entry re-attaches.
  Duration KeyedArrivalWait = std::chrono::milliseconds(250);
};

struct GateHooks {
  /// Called when the announced upstream changes; with none when it is
  /// withdrawn.
  std::function<void(const std::optional<UpstreamAnnouncement> &)> OnUpstream;
  /// Called when an admitted request ends. \a UpstreamTime is the time from the
  /// complete request to the response head; none when no response came. For
  /// \a Waited see Execution::waited().
  std::function<void(Duration Waited, std::optional<Duration> UpstreamTime)>
      OnExecuted;
};

/// Protects the upstream beside this node: admits, queues or refuses each
/// forwarded request, and runs it at most once.
class GateRole {
public:
  /// Fails with InvalidArgument without a node name or with a heartbeat that is
  /// not positive.
  static Result<std::unique_ptr<GateRole>> create(EventLoop &Loop,
                                                  HttpClient &Client,
                                                  GateOptions Options,
                                                  GateHooks Hooks);
  ~GateRole();

  void update(const ProxyState &State);
  /// Handles a forwarded request, which has a request id header. One that does
  /// not parse is answered with status 400.
  void handle(std::shared_ptr<ServerExchange> Exchange);
  /// Takes an announcement of the upstream. An outdated one, which arrives
  /// after a newer one, is ignored. Fails, and changes nothing, when
  /// checkAnnouncement() refuses it.
  Result<void> announce(const UpstreamAnnouncement &Upstream);
  /// Replaces the service and address that the settings name.
  void setOwnUpstream(const ServiceName &Service, const Endpoint &Address);
  /// Takes the upstream's message that it stops; later announcements of the
  /// same start are ignored. A message about an earlier start of the same
  /// instance has no effect.
  void deregister(const UpstreamEnd &End);
  /// Handles POST /v1/announce.
  void handleAnnounce(std::shared_ptr<ServerExchange> Exchange);

  /// Refuses new requests from now on; admitted requests run to their end.
  void drain();
  /// Number of requests that are queued or running.
  std::size_t inFlightRequests() const { return this->InFlightRequests.size(); }
  const std::optional<UpstreamAnnouncement> &upstream() const {
    return this->Current;
  }
  /// Number of refused requests by reason.
  const std::map<std::string, std::uint64_t> &refusals() const {
    return this->Refusals;
  }
  Json dump() const;

private:
  GateRole(EventLoop &Loop, HttpClient &Client, GateOptions Options,
           GateHooks Hooks);
  /// Attaches once the request arrives, or treats it as unknown at \a Until.
  void awaitArrival(const ForwardedRequest &Request,
                    const std::shared_ptr<ServerExchange> &Exchange,
                    Instant Until);
  /// Answers a re-attach to an unknown request: "not run" if it can be kept
  /// from running later, otherwise "unknown".
  void attach(const ForwardedRequest &Request,
              const std::shared_ptr<ServerExchange> &Exchange);
  void admit(ForwardedRequest Request,
             std::shared_ptr<ServerExchange> Exchange);
  /// Reason why the request must not run here; empty when it may.
  std::string refusal(const ForwardedRequest &Request) const;
  /// Whether the version is marked bad or has no share of the traffic.
  bool isVersionWithdrawn(const VersionName &Version) const;
  /// Whether a newer announcement or the end of this start was received.
  bool isOutdated(const UpstreamAnnouncement &Received) const;
  /// See checkAnnouncement().
  Result<void> check(const UpstreamAnnouncement &Received) const;
  /// Refuses a request with outcome "not run", counts it and logs it.
  void refuseOnArrival(const ForwardedRequest &Request,
                       ServerExchange &Exchange, const std::string &Reason);
  void refuse(ServerExchange &Exchange, int Status, Outcome KnownOutcome,
              const std::string &Reason) const;
  void onFinished(Execution &Ended, UpstreamResult Result,
                  std::optional<Duration> UpstreamTime);
  void apply(const AdmissionActions &Actions);
  void startExecution(Execution &Admitted);
  void scheduleWake();
  AdmissionSettings admissionSettings() const;
  /// Start of the time for which this gate knows all calls to the current
  /// upstream. The call rate limit of a cold upstream must count the second
  /// before as used up.
  Instant callsKnownSince() const;
  /// Replaces the admission control; queued requests are refused.
  void createAdmission();
  /// Passes to the admission control whether urgent routes lead to the
  /// upstream, and how long the upstream declares itself cold.
  void updateAdmission();
  void withdraw();
  void tick();
  /// Value of the load header, "IN-FLIGHT/LIMIT".
  std::string load() const;
  void logRefusal(const ForwardedRequest &Request, const HttpHeaders &Received,
                  const std::string &Reason) const;
  /// Logs a change of the upstream with the given event name.
  void logUpstream(const char *Event) const;

  /// Polling interval of awaitArrival().
  static constexpr Duration ArrivalCheck = std::chrono::milliseconds(5);

  EventLoop &Loop;
  HttpClient &Client;
  /// Destroyed with this object; timers check a weak reference to it.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
  GateOptions Options;
  GateHooks Hooks;
  ProxyState State;
  RequestTable Table;
  /// The upstream that receives requests.
  std::optional<UpstreamAnnouncement> Current;
  /// The newest announcement; kept after the upstream is withdrawn.
  std::optional<UpstreamAnnouncement> NewestAnnouncement;
  /// Instance that was deregistered last.
  std::optional<InstanceId> EndedInstance;
  Instant LastAnnounced;
  std::optional<AdmissionControl> Admission;
  /// Settings of the current admission control.
  AdmissionSettings Limits;
  /// Calls that an earlier process of this gate started are not known.
  Instant Created;
  /// When a call was last started at any upstream.
  std::optional<Instant> LastStart;
  /// Whether this gate received the first announcement of the current start.
  bool SawFirstAnnouncement = false;
  std::map<RequestId, std::shared_ptr<Execution>> InFlightRequests;
  /// Requests known to the current admission control.
  std::map<AdmissionTicket, std::shared_ptr<Execution>> Tickets;
  EventLoop::TimerId WakeTimer = 0;
  EventLoop::TimerId Ticker = 0;
  bool Draining = false;
  bool OwnZoneOutOfService = false;
  std::map<std::string, std::uint64_t> Refusals;
  std::uint64_t Admitted = 0;
  /// Number of requests that had to wait for a slot.
  std::uint64_t Queued = 0;
};

} // namespace amaranthward

#endif
