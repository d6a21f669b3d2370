#ifndef AMARANTHWARD_AMARANTHWARD_NODEDISTRIBUTION_H
#define AMARANTHWARD_AMARANTHWARD_NODEDISTRIBUTION_H

#include "amaranthward/syncendpoint.h"
#include "amaranthward/synctransport.h"
#include "libconfig/routingview.h"
#include "libconfig/settings.h"
#include "libdistribution/membercodec.h"
#include "libdistribution/revisionguard.h"
#include "libdistribution/syncclient.h"
#include "libdistribution/syncserver.h"
#include "libnet/httprouter.h"
#include <deque>

namespace amaranthward {

/// A node's part in the distribution of state: it syncs with its parent,
/// serves its children, and decides from when on the entry role may serve.
class NodeDistribution {
public:
  struct Hooks {
    /// New state is in force.
    std::function<void()> OnChanged;
  };

  static Result<std::unique_ptr<NodeDistribution>>
  create(EventLoop &Loop, HttpClient &Client, Metrics &Registry,
         const NodeSettings &Settings, Incarnation Start, Hooks NewHooks);

  /// Adds what other nodes call: /v1/sync and /v1/revision.
  void addPeerRoutes(HttpRouter &Router);
  void start();
  void tick();
  void setControl(const std::vector<Endpoint> &Replicas) {
    this->Client->setControl(Replicas);
  }

  void announce(const Member &Self);
  void leave();
  void observe(std::optional<Json> Counters);

  /// Null until the first state is in force.
  const std::shared_ptr<const RoutingView> &view() const { return this->View; }
  std::vector<Member> members() const;
  std::vector<DepartedMember> departed() const;
  Revision inForce() const { return this->State.inForce(); }
  bool mayServe() const { return this->Gate.mayServe(); }
  /// The state in force was known to be current at some time since the start;
  /// unlike \a mayServe, also before the first configuration set.
  bool wasCurrent() const {
    return this->mayServe() ||
           (this->Confirmed && *this->Confirmed <= this->inForce());
  }
  std::string waitReason() const { return this->Gate.waitReason(); }
  /// The member table shows what this node announces.
  bool announced() const { return this->Client->announced(); }
  const Member &self() const { return this->Client->self(); }
  Json dump() const;

  static constexpr Duration WitnessInterval = std::chrono::milliseconds(500);
  static constexpr Duration WitnessTimeout = std::chrono::seconds(1);
  /// Revisions whose time of taking effect the dump lists.
  static constexpr std::size_t MaxLog = 64;

private:
  struct InForceEntry {
    Revision Number;
    WallTime At;
  };

  NodeDistribution(EventLoop &Loop, HttpClient &Http, Metrics &Registry,
                   const NodeSettings &Settings, Incarnation Start,
                   Hooks NewHooks, DistributedState State, RevisionGuard Gate);
  Result<void> build();
  SyncClientHooks clientHooks();
  SyncServerHooks serverHooks();
  void onChanged(bool Replicated, bool Members);
  void serveRevision(ServerExchange &Exchange) const;
  void askWitnesses();
  void onWitness(const Endpoint &From, const Json &Answer);

  EventLoop &Loop;
  HttpClient &Http;
  Metrics &Registry;
  NodeSettings Settings;
  Incarnation Start;
  Hooks Callbacks;
  DistributedState State;
  RevisionGuard Gate;
  std::unique_ptr<SyncTransport> Transport;
  std::unique_ptr<SyncClient> Client;
  std::unique_ptr<SyncServer> Server;
  std::optional<SyncEndpoint> Children;
  std::shared_ptr<const RoutingView> View;
  std::optional<Revision> Confirmed;
  std::deque<InForceEntry> Log;
  /// The parent in the last log line about it.
  Endpoint LoggedParent;
  Instant NextWitnessRound;
};

} // namespace amaranthward

#endif
