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

/// Configuration distribution of a node: syncs with a parent, serves child
/// nodes (relay), and determines when the state is current enough for the entry
/// role to accept calls. Witnesses are the nodes listed in the settings that a
/// starting node asks for their revision, so that it never serves with an older
/// one while no control leader can be reached.
class NodeDistribution {
public:
  struct Hooks {
    /// Replicated state or members changed and are in force.
    std::function<void()> OnChanged;
  };

  static Result<std::unique_ptr<NodeDistribution>>
  create(EventLoop &Loop, HttpClient &Client, Metrics &Registry,
         const NodeSettings &Settings, Incarnation Start, Hooks NewHooks);

  /// Adds the routes that other nodes call: /v1/sync and /v1/revision.
  void addPeerRoutes(HttpRouter &Router);
  void start();
  void tick();
  /// Replaces the addresses of the control replicas.
  void setControl(const std::vector<Endpoint> &Replicas) {
    this->Client->setControl(Replicas);
  }

  /// Changes the member entry of this node.
  void announce(const Member &Self);
  /// Ends this node's session.
  void leave();
  /// Reports move counters to the leader; see MoveObserver::report.
  void observe(std::optional<Json> Counters);

  /// Routing view of the state in force; null before the first state.
  /// The same object follows all revisions.
  std::shared_ptr<const RoutingView> view() const { return this->View; }
  std::vector<Member> members() const;
  std::vector<DepartedMember> departed() const;
  Revision inForce() const { return this->State.inForce(); }
  /// Whether the revision in force is safe to serve with; see RevisionGuard.
  bool mayServe() const { return this->Guard.mayServe(); }
  /// Whether the state in force was confirmed to be current at some time since
  /// the start. Unlike mayServe() this can be true before the first
  /// configuration set is accepted.
  bool wasCurrent() const {
    return this->mayServe() || (this->ConfirmedRevision &&
                                *this->ConfirmedRevision <= this->inForce());
  }
  /// Why mayServe() is false.
  std::string waitReason() const { return this->Guard.waitReason(); }
  /// Whether the member table contains the member entry last announced.
  bool announced() const { return this->Client->announced(); }
  const Member &self() const { return this->Client->self(); }
  Json dump() const;

  /// Interval and timeout of the queries to witnesses until mayServe() is true.
  static constexpr Duration WitnessInterval = std::chrono::milliseconds(500);
  static constexpr Duration WitnessTimeout = std::chrono::seconds(1);
  /// Number of revisions whose time of taking effect is kept for the dump.
  static constexpr std::size_t MaxInForceLog = 64;

private:
  struct InForceEntry {
    Revision Number;
    WallTime At;
  };

  NodeDistribution(EventLoop &Loop, HttpClient &Http, Metrics &Registry,
                   const NodeSettings &Settings, Incarnation Start,
                   Hooks NewHooks, DistributedState State, RevisionGuard Guard);
  Result<void> build();
  SyncClientHooks clientHooks();
  SyncServerHooks serverHooks();
  /// Checks the staged revision and keeps the result for \a onChanged.
  Result<void> prepare(const std::vector<ResourceUpdate> &Changes);
  /// The flags tell which table changed.
  void onChanged(bool Replicated, bool Members);
  /// \param ViewTook time to change the routing view.
  void logTransfer(Duration ViewTook);
  void serveRevision(ServerExchange &Exchange) const;
  void queryWitnesses();
  void onWitnessAnswer(const Endpoint &From, const Json &Answer);

  EventLoop &Loop;
  HttpClient &Http;
  Metrics &Registry;
  NodeSettings Settings;
  Incarnation Start;
  Hooks Callbacks;
  DistributedState State;
  RevisionGuard Guard;
  std::unique_ptr<SyncTransport> Transport;
  std::unique_ptr<SyncClient> Client;
  std::unique_ptr<SyncServer> Server;
  std::optional<SyncEndpoint> ChildEndpoint;
  std::shared_ptr<RoutingView> View;
  /// The staged revision, checked against \a View.
  std::optional<RoutingView::Update> PreparedUpdate;
  /// Newest revision that was confirmed to be current.
  std::optional<Revision> ConfirmedRevision;
  std::deque<InForceEntry> InForceLog;
  /// Time that the last check of a staged revision took.
  Duration CheckTook{0};
  /// Parent that was logged last.
  Endpoint LoggedParent;
  Instant NextWitnessRound;
};

} // namespace amaranthward

#endif
