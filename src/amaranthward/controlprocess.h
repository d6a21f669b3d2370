#ifndef AMARANTHWARD_AMARANTHWARD_CONTROLPROCESS_H
#define AMARANTHWARD_AMARANTHWARD_CONTROLPROCESS_H

#include "amaranthward/metricslistener.h"
#include "amaranthward/syncendpoint.h"
#include "libconfig/settings.h"
#include "libcontrol/operatorapi.h"
#include "libnet/httpclient.h"
#include "libnet/httpserver.h"
#include "platform/platformcontrol.h"

namespace amaranthward {

/// Process of a control replica: a ControlService with its sockets and timers.
class ControlProcess {
public:
  static Result<std::unique_ptr<ControlProcess>>
  create(EventLoop &Loop, ControlSettings Settings);

  /// Begins a planned stop: transfers leadership, then stops the loop.
  void beginStop();
  /// Applies the settings that may change while the process runs: the seeds.
  void reload(const ControlSettings &Changed);

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);
  /// Largest body of a consensus message: a snapshot chunk or a large record,
  /// including the base64 overhead.
  static constexpr std::size_t MaxReplicaMessageBytes =
      std::size_t{16} * 1024 * 1024;
  /// Log size that triggers a snapshot: about 5 sets of 400 routes. A restarted
  /// replica applies the log after the snapshot before it can lead, which takes
  /// 10 ms per set on a third of a core.
  static constexpr std::size_t SnapshotAfterBytes = std::size_t{64} * 1024;
  /// See ReplicaOptions::SnapshotLogRatio. A record of the log has a whole set,
  /// and so has the snapshot, so a large set is written once in four records.
  static constexpr std::size_t SnapshotLogRatio = 4;
  /// Timeout of a consensus message.
  static constexpr Duration MessageTimeout = std::chrono::seconds(1);
  /// Time after which a planned stop no longer waits for another leader.
  static constexpr Duration HandOverTimeout = std::chrono::seconds(2);
  /// Messages in flight to one replica; further ones are dropped, because
  /// consensus sends records again that were not acknowledged.
  static constexpr std::size_t MaxMessagesInFlight = 64;

private:
  ControlProcess(EventLoop &Loop, ControlSettings Settings)
      : Loop(Loop), Settings(std::move(Settings)) {}
  Result<void> start();
  /// The advertised address when there are seeds, otherwise the name from the
  /// settings.
  ReplicaName ownName() const;
  OpenMembership openMembership(const std::vector<ReplicaName> &Peers) const;
  void addRoutes();
  void updateGauges();
  void sendToReplica(const ReplicaName &To, const Json &Message);
  void receive(std::shared_ptr<ServerExchange> Exchange,
               const std::string &Body);
  /// Calls tick() once at the end of this turn of the event loop.
  void scheduleTick();
  void tick();
  /// Empty when the replica is unknown.
  Endpoint addressOf(const ReplicaName &Name) const;

  EventLoop &Loop;
  ControlSettings Settings;
  Metrics Registry;
  HttpRouter Router;
  std::unique_ptr<HttpClient> Client;
  std::unique_ptr<ControlService> Service;
  std::unique_ptr<OperatorApi> Operators;
  std::unique_ptr<PlatformControl> Platform;
  std::optional<SyncEndpoint> Sync;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<MetricsListener> MetricsEndpoint;
  std::map<ReplicaName, std::size_t> InFlightRequests;
  bool TickPending = false;
  /// Set while a planned stop is in progress.
  std::optional<Instant> StopDeadline;
};

} // namespace amaranthward

#endif
