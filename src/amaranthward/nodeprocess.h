#ifndef AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H
#define AMARANTHWARD_AMARANTHWARD_NODEPROCESS_H

#include "amaranthward/moveobserver.h"
#include "amaranthward/nodedistribution.h"
#include "libnet/httpserver.h"

namespace amaranthward {

/// A node with its sockets and timers.
class NodeProcess {
public:
  static Result<std::unique_ptr<NodeProcess>> create(EventLoop &Loop,
                                                     NodeSettings Settings);

  /// Leaves the mesh, drains, then stops the loop.
  void beginStop();

  static constexpr Duration TickInterval = std::chrono::milliseconds(10);

private:
  NodeProcess(EventLoop &Loop, NodeSettings Settings)
      : Loop(Loop), Settings(std::move(Settings)) {}
  Result<void> start();
  void tick();

  EventLoop &Loop;
  NodeSettings Settings;
  Metrics Registry;
  HttpRouter PeerRouter;
  HttpRouter LocalRouter;
  std::unique_ptr<HttpClient> Client;
  std::unique_ptr<NodeDistribution> Distribution;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpServer> LocalServer;
};

} // namespace amaranthward

#endif
