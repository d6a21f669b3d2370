#ifndef AMARANTHWARD_LIBPROXY_GATEROLE_H
#define AMARANTHWARD_LIBPROXY_GATEROLE_H

#include "libproxy/announcement.h"
#include "libproxy/proxystate.h"
#include "libproxy/requesttable.h"

namespace amaranthward {

struct GateOptions {
  NodeIdentity Self;
  HeaderNames Names;
  /// An upstream that does not announce itself for this time is withdrawn.
  Duration AnnouncementTimeout = std::chrono::seconds(3);
  /// Time between interim responses to a waiting entry.
  Duration Heartbeat = std::chrono::milliseconds(200);
  /// How long a re-attach by idempotency key waits for the first arrival. The
  /// entry that won the claim may forward later than another one re-attaches.
  Duration KeyedArrivalWait = std::chrono::milliseconds(250);
};

struct GateHooks {
  /// The announced upstream changed; none when it is withdrawn.
  std::function<void(const std::optional<UpstreamAnnouncement> &)> OnUpstream;
  /// A request that was admitted is over. Without \a UpstreamTime no response
  /// came; see Execution::waited().
  std::function<void(Duration Waited, std::optional<Duration> UpstreamTime)>
      OnExecuted;
};

/// Protects the upstream beside this node: decides on each forwarded request
/// and runs it at most once.
class GateRole {
public:
  static Result<std::unique_ptr<GateRole>> create(EventLoop &Loop,
                                                  HttpClient &Client,
                                                  GateOptions Options,
                                                  GateHooks Hooks);
  ~GateRole();

  void update(const ProxyState &State);
  /// A forwarded request, recognised by its request id header.
  void handle(std::shared_ptr<ServerExchange> Exchange);
  /// A late announcement, one that an earlier one has overtaken, is ignored.
  void announce(const UpstreamAnnouncement &Upstream);
  /// The upstream says that it ends; later announcements of the same start
  /// are ignored. The end of an earlier start under the same name changes
  /// nothing.
  void deregister(const UpstreamEnd &Said);
  /// POST /v1/announce.
  void handleAnnounce(std::shared_ptr<ServerExchange> Exchange);

  /// Refuses new requests from now on; requests under way finish.
  void drain();
  /// Requests that wait for admission or run.
  std::size_t inFlightRequests() const { return this->InFlightRequests.size(); }
  const std::optional<UpstreamAnnouncement> &upstream() const {
    return this->Current;
  }
  /// Refused requests by reason.
  const std::map<std::string, std::uint64_t> &refusals() const {
    return this->Refusals;
  }
  Json dump() const;

private:
  GateRole(EventLoop &Loop, HttpClient &Client, GateOptions Options,
           GateHooks Hooks);
  void awaitArrival(const ForwardedRequest &Request,
                    const std::shared_ptr<ServerExchange> &Exchange,
                    Instant Until);
  void attach(const ForwardedRequest &Request,
              const std::shared_ptr<ServerExchange> &Exchange);
  void admit(ForwardedRequest Request,
             std::shared_ptr<ServerExchange> Exchange);
  /// Why the request must not run here; empty when it may.
  std::string refusal(const ForwardedRequest &Request) const;
  bool isVersionWithdrawn(const VersionName &Version) const;
  bool isOutdated(const UpstreamAnnouncement &Said) const;
  /// Refuses a request on arrival: counted, logged and answered "not run".
  void refuseOnArrival(const ForwardedRequest &Request,
                       ServerExchange &Exchange, const std::string &Reason);
  void refuse(ServerExchange &Exchange, int Status, Outcome Known,
              const std::string &Reason) const;
  void onFinished(Execution &Ended, UpstreamResult Result,
                  std::optional<Duration> UpstreamTime);
  void apply(const AdmissionActions &Actions);
  void startExecution(Execution &Admitted);
  void scheduleWake();
  AdmissionSettings admissionSettings() const;
  /// Since when all calls that the present upstream got are known here; the
  /// second before may have been full.
  Instant callsKnownSince() const;
  void createAdmission();
  /// Tells the admission control which routes lead to the upstream and what
  /// the upstream says of its warmth.
  void updateAdmission();
  void withdraw();
  void tick();
  std::string load() const;
  void logRefusal(const ForwardedRequest &Request, const HttpHeaders &Received,
                  const std::string &Reason) const;
  /// A change of what is known about the upstream.
  void logUpstream(const char *Event) const;

  static constexpr Duration ArrivalCheck = std::chrono::milliseconds(5);

  EventLoop &Loop;
  HttpClient &Client;
  /// Expires with this object; timers check it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  GateOptions Options;
  GateHooks Hooks;
  ProxyState State;
  RequestTable Table;
  std::optional<UpstreamAnnouncement> Current;
  /// The newest announcement, also of an upstream that was withdrawn.
  std::optional<UpstreamAnnouncement> Newest;
  /// The start that has ended.
  std::optional<InstanceId> Ended;
  Instant LastAnnounced;
  std::optional<AdmissionControl> Admission;
  AdmissionSettings Limits;
  /// When this object was made; what an earlier process sent is unknown.
  Instant Created;
  /// When a call was last started at any upstream.
  std::optional<Instant> LastStart;
  /// Whether this process heard the first word of the present upstream.
  bool SawFirstAnnouncement = false;
  std::map<RequestId, std::shared_ptr<Execution>> InFlightRequests;
  /// Requests known to the current admission control.
  std::map<AdmissionTicket, std::shared_ptr<Execution>> Tickets;
  EventLoop::TimerId Wake = 0;
  EventLoop::TimerId Ticker = 0;
  bool Draining = false;
  bool OwnZoneOutOfService = false;
  std::map<std::string, std::uint64_t> Refusals;
  std::uint64_t Admitted = 0;
  /// Requests that waited for a slot.
  std::uint64_t Waited = 0;
};

} // namespace amaranthward

#endif
