#ifndef AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H
#define AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H

#include "amaranthward/metricslistener.h"
#include "amaranthward/moveobserver.h"
#include "amaranthward/nodedistribution.h"
#include "libnet/httpserver.h"
#include "libproxy/claimservice.h"
#include "libproxy/entryrole.h"
#include "libproxy/gaterole.h"
#include "platform/platformnode.h"

namespace amaranthward {

/// Process of a node: the entry role for callers, the gate role for the
/// upstream beside it, claims and configuration distribution, with sockets and
/// timers.
class NodeProcess {
public:
  static Result<std::unique_ptr<NodeProcess>> create(EventLoop &Loop,
                                                     NodeSettings Settings);

  /// Begins a planned stop: announces that the node is leaving, drains its
  /// requests, ends its session, then stops the loop.
  void beginStop();
  /// Applies the settings that may change while the process runs: the addresses
  /// of the control replicas, and the service and address of the upstream.
  void reload(const NodeSettings &Changed);

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);
  /// Interval of the evaluation and report of move counters.
  static constexpr Duration ObserveInterval = std::chrono::milliseconds(100);
  /// Longest wait until other nodes know that this one is leaving. Also enough
  /// for callers that check readiness every second to see two failed checks.
  static constexpr Duration MaxLeaveTime = std::chrono::milliseconds(2500);
  /// Time for the leaving flag to reach other nodes once it is in this node's
  /// own member table.
  static constexpr Duration LeavePropagationTime =
      std::chrono::milliseconds(300);
  /// Part of the grace period reserved for the end of the session and the exit
  /// of the process.
  static constexpr Duration ShutdownReserve = std::chrono::milliseconds(400);
  /// Below the 10 s after which upstreams close idle connections: whether a
  /// request ran is unknown when the upstream closes its connection at the same
  /// time.
  static constexpr Duration UpstreamIdleTimeout = std::chrono::seconds(4);
  /// Retry-After in seconds for calls refused while there is no safe revision.
  /// Short, because the first answer of the leader brings one.
  static constexpr const char *SafeRevisionRetryAfter = "0.2";
  /// Time allowed for sending the end of the session.
  static constexpr Duration SessionEndTime = std::chrono::milliseconds(100);

private:
  enum class StopPhase { Running, Leaving, Draining, Ending };

  NodeProcess(EventLoop &Loop, NodeSettings Settings, NodeIdentity Identity,
              MoveObserver Observer)
      : Loop(Loop), Settings(std::move(Settings)),
        Identity(std::move(Identity)), Observer(std::move(Observer)) {}
  Result<void> start();
  Result<void> createRoles();
  Result<void> listen();
  Result<void> listenReady();
  /// Whether new callers are accepted, as the readiness address reports.
  bool ready() const;
  void addPlatform();
  void addLocalRoutes();
  /// Refuses with 503 while there is no safe revision.
  void serveCaller(std::shared_ptr<ServerExchange> Exchange);
  /// Passes calls to the gate role and other requests to the peer routes.
  void servePeer(std::shared_ptr<ServerExchange> Exchange);
  void onStateChanged();
  void onUpstream(const std::optional<UpstreamAnnouncement> &Upstream);
  void tick();
  /// Evaluates the move counters, applies share limits and reports.
  void observe();
  /// Moves the planned stop to its next phase when due.
  void continueStop();
  /// Whether requests are in flight or callers still have open connections.
  bool hasPendingRequests() const;
  Json dump() const;
  void updateGauges();

  EventLoop &Loop;
  NodeSettings Settings;
  NodeIdentity Identity;
  Metrics Registry;
  HttpRouter PeerRouter;
  HttpRouter LocalRouter;
  MoveObserver Observer;
  /// Whether attempts were counted since the last report.
  bool HasNewAttempts = false;
  /// NodeDistribution::wasCurrent at the last tick.
  bool WasCurrent = false;
  Instant NextObservation;
  std::unique_ptr<HttpClient> Client;
  /// Connections to the upstream; a separate client because upstreams close
  /// idle connections sooner than nodes do.
  std::unique_ptr<HttpClient> UpstreamClient;
  std::unique_ptr<NodeDistribution> Distribution;
  std::unique_ptr<ClaimService> Claims;
  std::unique_ptr<EntryRole> Entry;
  std::unique_ptr<GateRole> Gate;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> LocalServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<MetricsListener> MetricsEndpoint;
  std::unique_ptr<PlatformNode> Platform;
  StopPhase Stopping = StopPhase::Running;
  Instant PhaseDeadline;
  /// End of draining: the grace period less ShutdownReserve.
  Instant StopDeadline;
  /// When this node's own member table first showed it as leaving.
  std::optional<Instant> LeaveAnnouncedAt;
};

} // namespace amaranthward

#endif
