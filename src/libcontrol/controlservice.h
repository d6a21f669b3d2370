#ifndef AMARANTHWARD_LIBCONTROL_CONTROLSERVICE_H
#define AMARANTHWARD_LIBCONTROL_CONTROLSERVICE_H

#include "libconsensus/consensusreplica.h"
#include "libcontrol/controlstate.h"
#include "libcontrol/movedriver.h"
#include "libcontrol/startmove.h"
#include "libcontrol/statepublisher.h"
#include "libcore/finding.h"
#include "libdistribution/memberview.h"
#include "libdistribution/sessiontable.h"
#include "libdistribution/syncserver.h"
#include <memory>
#include <variant>

namespace amaranthward {

/// Answer to one submitted configuration set.
struct SubmitAnswer {
  /// Empty when the set was read and checked without errors.
  Findings Problems;
  /// Set when the set was decided on.
  std::optional<ApplyOutcome> Outcome;
  /// Set otherwise: Refused (not the leader, not appended), Exhausted (not
  /// appended) or Unavailable (outcome unknown; a resend is safe).
  std::optional<Error> Failure;
};

struct ControlServiceHooks {
  std::function<void(const ReplicaName &To, const Json &Message)> SendToReplica;
  /// The state changed, or the role, or how far a revision is in force.
  std::function<void()> OnChange;
  /// A call of tick() is due at the end of this turn of the loop.
  std::function<void()> OnWork;
  /// How long a child's request without news is parked.
  Duration SyncHold = SyncServerOptions().Hold;
  MonotonicClockFunction Now;
  WallClockFunction Wall;
  RandomFunction Random;
};

/// One control replica without its sockets: the log, the replicated state, the
/// live sessions and the move decisions.
class ControlService {
public:
  static Result<std::unique_ptr<ControlService>>
  create(ReplicaOptions Replication, ControlServiceHooks Hooks);

  /// Runs timers and sends what is due. Call it every 10 ms or so.
  void tick();

  // Commands.
  void submit(const std::string &Yaml,
              std::function<void(SubmitAnswer)> OnDone);
  /// The same for a set that was not read from YAML; it is checked here.
  void submit(ConfigurationSet Set, std::function<void(SubmitAnswer)> OnDone);
  using Done = std::function<void(Result<void>)>;
  /// Takes a zone out of service or brings it back. Fails with Refused (not
  /// the leader) or Unavailable (outcome unknown; a resend is safe).
  void setZoneInService(const ZoneName &Zone, bool InService, Done OnDone);
  /// Begins a move; fails like \a setZoneInService, with NotFound for an
  /// unknown service, and with Unavailable while no other version is announced.
  void requestMove(const OperatorMoveRequest &Order, Done OnDone);
  /// Confirms that \a data holds everything acknowledged before this call.
  /// Fails like \a setZoneInService.
  void confirmRead(Done OnDone);
  void receive(const ReplicaName &From, const Json &Message);
  /// Serves a child; leader only.
  void sync(const SyncRequest &Request, SyncServer::Complete OnComplete);
  void abandonSync(const NodeName &Node, std::uint64_t Sequence);
  /// See ConsensusReplica::setPeers.
  void setPeers(std::vector<ReplicaName> Names) {
    this->Replica->setPeers(std::move(Names));
  }
  /// Hands leadership over before a planned stop; does nothing on a follower.
  void handOver();

  // Queries.
  bool isLeader() const { return this->Replica->isLeader(); }
  ReplicaName leader() const { return this->Replica->leader(); }
  const ControlData &data() const { return this->State.data(); }
  /// How many nodes have the newest revision in force; leader only.
  InForceCount inForce() const;
  Json status() const;
  Json moves(std::uint64_t After) const;
  Json history() const;
  Json dump() const;

  static constexpr Duration DecisionInterval = std::chrono::milliseconds(100);

private:
  ControlService(ControlServiceHooks Hooks, ControlState State,
                 MoveDriver Driver, StatePublisher Publisher);
  Result<void> start(ReplicaOptions Replication);
  ReplicaHooks replicaHooks();
  SyncServerHooks serverHooks();
  void onRoleChange();
  void onUplink(Urgency How);
  void publishMembers(Urgency How);
  void decideMoves();
  void publishState();
  void submitCommand(const ApplyConfiguration &Command,
                     std::function<void(SubmitAnswer)> OnDone);
  void propose(std::string Payload);
  void proposeOrder(const Json &Command, Done OnDone);
  /// The version with most upstreams, other than \a Except; may be empty.
  VersionName prevailingVersion(const ServiceName &Service,
                                const VersionName &Except);
  void startConfirmation();
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request);
  void changed();
  void workPending();

  ControlServiceHooks Hooks;
  ControlState State;
  MoveDriver Driver;
  StatePublisher Publisher;
  std::string ReplicaNameText;
  std::unique_ptr<SessionTable> Sessions;
  std::unique_ptr<SyncServer> Server;
  std::unique_ptr<ConsensusReplica> Replica;
  /// Decoded members, refreshed before each use.
  MemberView View;
  bool WasLeader = false;
  /// Records were applied that are not published yet.
  bool PublicationDue = false;
  Instant NextDecision;
  bool Confirming = false;
  Instant ConfirmingSince;
  std::optional<Instant> ConfirmedSince;
};

} // namespace amaranthward

#endif
