#ifndef AMARANTHWARD_TESTS_LIBPROXY_MESHFIXTURE_H
#define AMARANTHWARD_TESTS_LIBPROXY_MESHFIXTURE_H

#include "libconfig/resources.h"
#include "libnet/httpserver.h"
#include "libproxy/entryrole.h"
#include "libproxy/gaterole.h"
#include <doctest/doctest.h>

namespace amaranthward {

/// Service "shop" with versions v1 and v2, an idempotent route "browse" on
/// /browse, a non-idempotent route "order" on /order, and zones "a" and "b".
struct MeshSet {
  ConfigurationSet Set;
  std::uint32_t ShareOfV2 = 0;
  bool MoveOpen = false;
  bool V2Bad = false;
  bool ZoneAOut = false;

  MeshSet();
  std::shared_ptr<const RoutingView> view() const;
};

/// An upstream whose handler the test provides, with a gate in front of it.
struct GateNode {
  NodeIdentity Self;
  std::unique_ptr<HttpServer> Upstream;
  std::unique_ptr<HttpClient> Client;
  std::unique_ptr<GateRole> Gate;
  std::unique_ptr<HttpServer> Peer;
  VersionName Version;
  /// Where members reach the gate; a relay may stand there.
  Endpoint PeerAddress;
  int Requests = 0;
};

/// What a caller received.
struct CallerView {
  int Status = 0;
  std::string Outcome;
  std::string Reason;
  std::string Body;
  bool Ended = false;
  bool Failed = false;
  std::shared_ptr<ClientExchange> Exchange;

  bool over() const { return this->Ended || this->Failed; }
};

/// Callers, one entry, gates and upstreams in one process on one loop.
struct MeshFixture {
  std::unique_ptr<EventLoop> Loop = std::move(*EventLoop::create());
  MeshSet Configuration;
  Revision Applied{1};
  std::vector<std::unique_ptr<GateNode>> Gates;
  std::unique_ptr<HttpClient> EntryClient;
  std::unique_ptr<EntryRole> Entry;
  std::unique_ptr<HttpServer> Listener;
  std::unique_ptr<HttpClient> Caller;
  EntryHooks Hooks;
  std::vector<AttemptReport> Reports;
  EventLoop::TimerId Announcer = 0;

  ~MeshFixture();

  /// Adds a node with an upstream of \a Version in zone \a Zone.
  GateNode &addGate(const std::string &Version, HttpServer::Handler Handler,
                    const std::string &Zone = "a", std::uint32_t Slots = 100);
  /// Creates the entry and gives the state to all roles.
  void start();
  ProxyState state() const;
  /// Gives the current configuration to the entry.
  void updateEntry();
  void updateGates();

  std::shared_ptr<CallerView> call(const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body = "",
                                   const HttpHeaders &Headers = {});
  /// Calls and waits for the end.
  std::shared_ptr<CallerView> callAndWait(const std::string &Method,
                                          const std::string &Target,
                                          const std::string &Body = "",
                                          const HttpHeaders &Headers = {});
  bool runUntil(std::function<bool()> Condition,
                Duration Timeout = std::chrono::seconds(15));
};

/// Reads the whole request and responds with \a Text and status 200.
HttpServer::Handler answering(const std::string &Text);

} // namespace amaranthward

#endif
