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

/// Answer to one submitted configuration set. Problems holds errors, or one of
/// Outcome and Failure is set.
struct SubmitAnswer {
  /// Findings of a set that cannot be read or has errors; otherwise empty.
  Findings Problems;
  /// Set when the set was applied or rejected by the replicated state.
  std::optional<ApplyOutcome> Outcome;
  /// Set when the outcome is not available: Refused (not the leader, not
  /// appended), Exhausted (not appended) or Unavailable (outcome unknown; a
  /// resend is safe).
  std::optional<Error> Failure;
};

struct ControlServiceHooks {
  /// Sends a consensus message; it may be lost.
  std::function<void(const ReplicaName &To, const Json &Message)> SendToReplica;
  /// Called after a change of the state, of the role, or of the number of nodes
  /// that have a revision in force. May be empty.
  std::function<void()> OnChange;
  /// Asks for a call of tick() at the end of this turn of the event loop. May
  /// be empty.
  std::function<void()> OnTickNeeded;
  /// How long a sync request of a node is kept open while there is no change to
  /// send.
  Duration SyncHold = SyncServerOptions().Hold;
  /// Calls that an unproven version may get in its move.
  ExposureLimit Exposure = {};
  MonotonicClockFunction Now;
  WallClockFunction Wall;
  RandomFunction Random;
};

/// A control replica without its sockets: the consensus log, the replicated
/// state, the sessions of the nodes and the decisions on moves.
class ControlService {
public:
  static Result<std::unique_ptr<ControlService>>
  create(ReplicaOptions Replication, ControlServiceHooks Hooks);

  /// Runs timers, publishes applied records and sends pending messages. Call it
  /// about every 10 ms and after OnTickNeeded.
  void tick();

  // Commands.
  /// Reads, checks and replicates a set. The deadline of a move is checked only
  /// when the version is new, so a resend after the deadline gets its outcome.
  void submit(const std::string &Yaml,
              std::function<void(SubmitAnswer)> OnDone);
  /// Checks and replicates a set that was not read from YAML.
  void submit(ConfigurationSet Set, std::function<void(SubmitAnswer)> OnDone);
  using Done = std::function<void(Result<void>)>;
  /// Takes a zone out of service or puts it back. Fails with InvalidArgument
  /// (empty name), Refused (not the leader), Exhausted (not appended) or
  /// Unavailable (outcome unknown; a resend is safe).
  void setZoneInService(const ZoneName &Zone, bool InService, Done OnDone);
  /// Starts a move, or only confirms leadership when the newest move has the
  /// same target. Fails like \a setZoneInService, with NotFound for an unknown
  /// service, and with Unavailable while no upstream announces another version.
  void requestMove(const OperatorMoveRequest &Order, Done OnDone);
  /// Confirms with a majority that \a data holds every record acknowledged
  /// before this call (linearizable read). Fails with Refused or
  /// Unavailable.
  void confirmRead(Done OnDone);
  /// Handles a consensus message of another replica.
  void receive(const ReplicaName &From, const Json &Message);
  /// Answers a sync request of a node; leader only.
  void sync(const SyncRequest &Request, SyncServer::Complete OnComplete);
  /// Drops the parked request of a node that closed its connection.
  void abandonSync(const NodeName &Node, std::uint64_t Sequence);
  /// See ConsensusReplica::setPeers.
  void setPeers(std::vector<ReplicaName> Names) {
    this->Replica->setPeers(std::move(Names));
  }
  /// Transfers leadership before a planned stop; does nothing on a follower.
  void handOverLeadership();

  // Queries.
  bool isLeader() const { return this->Replica->isLeader(); }
  ReplicaName leader() const { return this->Replica->leader(); }
  const ControlData &data() const { return this->State.data(); }
  /// Number of nodes that have the newest revision in force; leader only.
  InForceCount inForce() const;
  Json status() const;
  /// Move events with a sequence above \a After, and the newest sequence.
  Json moves(std::uint64_t After) const;
  /// Accepted sets, oldest first.
  Json history() const;
  /// Internal state for diagnosis.
  Json dump() const;

  /// Time between two evaluations of the open moves.
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
  /// The version with most upstreams, apart from \a Except and versions marked
  /// bad; empty when there is none.
  VersionName mostCommonVersion(const ServiceName &Service,
                                const VersionName &Except);
  /// Starts a leadership confirmation round unless one is running.
  void startConfirmation();
  std::vector<ParentCandidate> parentsFor(const SyncRequest &Request);
  void notifyChange();
  void requestTick();

  ControlServiceHooks Hooks;
  ControlState State;
  MoveDriver Driver;
  StatePublisher Publisher;
  std::string ReplicaNameText;
  std::unique_ptr<SessionTable> Sessions;
  std::unique_ptr<SyncServer> Server;
  std::unique_ptr<ConsensusReplica> Replica;
  /// Decoded member table, refreshed before each use.
  MemberView View;
  bool WasLeader = false;
  /// Whether applied records are not published yet.
  bool PublicationPending = false;
  Instant NextDecision;
  /// Whether a confirmation round is running, and when it started.
  bool ConfirmationRunning = false;
  Instant ConfirmationStartedAt;
  /// Start of the newest round in which a majority confirmed the leadership.
  std::optional<Instant> ConfirmedSince;
};

} // namespace amaranthward

#endif
