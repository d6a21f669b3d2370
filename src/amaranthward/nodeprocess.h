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

/// A node with its sockets and timers.
class NodeProcess {
public:
  static Result<std::unique_ptr<NodeProcess>> create(EventLoop &Loop,
                                                     NodeSettings Settings);

  /// Leaves the mesh, drains, then stops the loop.
  void beginStop();
  /// Takes over what may change while the process runs: the addresses of the
  /// control replicas.
  void reload(const NodeSettings &Changed);

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);
  static constexpr Duration ObserveInterval = std::chrono::milliseconds(100);
  /// Longest wait until other nodes know that this one is leaving, and until
  /// callers have found it not ready in two checks a second apart.
  static constexpr Duration LeaveTime = std::chrono::milliseconds(2500);
  /// Time for the news to travel on from this node's own table.
  static constexpr Duration LeaveMargin = std::chrono::milliseconds(300);
  /// Part of the grace kept for the farewell and the end of the process.
  static constexpr Duration StopMargin = std::chrono::milliseconds(400);
  /// Below the 10 s after which upstreams close idle connections: a request
  /// that meets the close may have run or not.
  static constexpr Duration UpstreamIdle = std::chrono::seconds(4);
  /// Seconds; a safe revision comes with the first answer of the leader.
  static constexpr const char *SafeRevisionRetryAfter = "0.2";
  /// Time in which the end of the session is sent.
  static constexpr Duration FarewellTime = std::chrono::milliseconds(100);

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
  /// Takes new callers.
  bool ready() const;
  void addPlatform();
  void addLocalRoutes();
  void serveCaller(std::shared_ptr<ServerExchange> Exchange);
  void servePeer(std::shared_ptr<ServerExchange> Exchange);
  void onStateChanged();
  void onUpstream(const std::optional<UpstreamAnnouncement> &Upstream);
  void tick();
  void observe();
  void continueStop();
  /// Requests are under way or may still come.
  bool hasWork() const;
  Json dump() const;
  void updateGauges();

  EventLoop &Loop;
  NodeSettings Settings;
  NodeIdentity Identity;
  Metrics Registry;
  HttpRouter PeerRouter;
  HttpRouter LocalRouter;
  MoveObserver Observer;
  bool Observed = false;
  bool WasCurrent = false;
  Instant NextObservation;
  std::unique_ptr<HttpClient> Client;
  /// Connections to the upstream, which closes idle ones sooner than nodes do.
  std::unique_ptr<HttpClient> Upstreams;
  std::unique_ptr<NodeDistribution> Distribution;
  std::unique_ptr<ClaimService> Claims;
  std::unique_ptr<EntryRole> Entry;
  std::unique_ptr<GateRole> Gate;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> LocalServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<MetricsListener> Scraped;
  std::unique_ptr<PlatformNode> Platform;
  StopPhase Stopping = StopPhase::Running;
  Instant PhaseEnds;
  Instant StopBy;
  std::optional<Instant> LeftAt;
};

} // namespace amaranthward

#endif
