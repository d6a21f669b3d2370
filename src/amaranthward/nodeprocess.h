#ifndef AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H
#define AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H

#include "amaranthward/moveobserver.h"
#include "amaranthward/nodedistribution.h"
#include "libnet/httpserver.h"
#include "libproxy/claimservice.h"
#include "libproxy/entryrole.h"
#include "libproxy/gaterole.h"

namespace amaranthward {

/// A node with its sockets and timers.
class NodeProcess {
public:
  static Result<std::unique_ptr<NodeProcess>> create(EventLoop &Loop,
                                                     NodeSettings Settings);

  /// Leaves the mesh, drains, then stops the loop.
  void beginStop();

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);
  static constexpr Duration ObserveInterval = std::chrono::milliseconds(100);
  /// Longest wait until other nodes know that this one is leaving.
  static constexpr Duration LeaveTime = std::chrono::seconds(2);
  /// Time for the news to travel on from this node's own table.
  static constexpr Duration LeaveMargin = std::chrono::milliseconds(300);
  /// Longest wait for requests under way on a planned stop.
  static constexpr Duration DrainTime = std::chrono::seconds(60);
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
  void addLocalRoutes();
  void serveCaller(std::shared_ptr<ServerExchange> Exchange);
  void servePeer(std::shared_ptr<ServerExchange> Exchange);
  void onStateChanged();
  void onUpstream(const std::optional<UpstreamAnnouncement> &Upstream);
  void tick();
  void observe();
  void continueStop();
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
  std::unique_ptr<NodeDistribution> Distribution;
  std::unique_ptr<ClaimService> Claims;
  std::unique_ptr<EntryRole> Entry;
  std::unique_ptr<GateRole> Gate;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> LocalServer;
  StopPhase Stopping = StopPhase::Running;
  Instant PhaseEnds;
  std::optional<Instant> LeftAt;
};

} // namespace amaranthward

#endif
