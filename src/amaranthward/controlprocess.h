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

/// A control replica with its sockets and timers.
class ControlProcess {
public:
  static Result<std::unique_ptr<ControlProcess>>
  create(EventLoop &Loop, ControlSettings Settings);

  /// Hands leadership over, then stops the loop.
  void beginStop();
  /// Takes over what may change while the process runs: the seeds.
  void reload(const ControlSettings &Changed);

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);
  /// A snapshot chunk or a large record with its base64 overhead.
  static constexpr std::size_t MaxReplicaMessageBytes =
      std::size_t{16} * 1024 * 1024;
  /// About 5 sets of 400 routes: a restarted replica applies the log after
  /// the snapshot before it can lead, at 10 ms a set on a third of a core.
  static constexpr std::size_t SnapshotAfterBytes = std::size_t{64} * 1024;
  static constexpr Duration MessageTimeout = std::chrono::seconds(1);
  /// Longest time to wait for a successor on a planned stop.
  static constexpr Duration HandOverTime = std::chrono::seconds(2);
  /// Messages under way to one replica; further ones are dropped, because the
  /// log repeats what was not acknowledged.
  static constexpr std::size_t MaxMessagesUnderWay = 64;

private:
  ControlProcess(EventLoop &Loop, ControlSettings Settings)
      : Loop(Loop), Settings(std::move(Settings)) {}
  Result<void> start();
  ReplicaName ownName() const;
  OpenMembership openMembership(const std::vector<ReplicaName> &Peers) const;
  void addRoutes();
  void updateGauges();
  void sendToReplica(const ReplicaName &To, const Json &Message);
  void receive(std::shared_ptr<ServerExchange> Exchange,
               const std::string &Body);
  /// Ticks once after all events of this turn of the loop.
  void tickSoon();
  void tick();
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
  std::unique_ptr<MetricsListener> Scraped;
  std::map<ReplicaName, std::size_t> InFlightRequests;
  bool TickPending = false;
  std::optional<Instant> StopBy;
};

} // namespace amaranthward

#endif
