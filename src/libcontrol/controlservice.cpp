#include "libcontrol/controlservice.h"

#include "libconfig/configurationcheck.h"
#include "libconfig/configurationreader.h"
#include "libcontrol/setzoneinservice.h"
#include "libcore/log.h"
#include <algorithm>

namespace amaranthward {

namespace {

// File name that findings on submitted text show.
constexpr const char *SubmittedFile = "configuration";

bool hasOverdueMove(const ConfigurationSet &Set, WallTime Now) {
  return std::any_of(Set.Services.begin(), Set.Services.end(),
                     [Now](const ServiceSpec &Service) {
                       return Service.Move && Service.Move->FinishBy &&
                              *Service.Move->FinishBy <= Now;
                     });
}

} // namespace

ControlService::ControlService(ControlServiceHooks Hooks, ControlState State,
                               MoveDriver Driver, StatePublisher Publisher)
    : Hooks(std::move(Hooks)), State(std::move(State)),
      Driver(std::move(Driver)), Publisher(std::move(Publisher)) {}

Result<std::unique_ptr<ControlService>>
ControlService::create(ReplicaOptions Replication, ControlServiceHooks Hooks) {
  auto State = ControlState::create();
  if (!State)
    return tl::make_unexpected(State.error());
  PacerOptions Pacing;
  Pacing.Exposure = Hooks.Exposure;
  auto Driver = MoveDriver::create(Pacing);
  if (!Driver)
    return tl::make_unexpected(Driver.error());
  auto Publisher = StatePublisher::create();
  if (!Publisher)
    return tl::make_unexpected(Publisher.error());
  std::unique_ptr<ControlService> Service(
      new ControlService(std::move(Hooks), std::move(*State),
                         std::move(*Driver), std::move(*Publisher)));
  if (auto Started = Service->start(std::move(Replication)); !Started)
    return tl::make_unexpected(Started.error());
  return Service;
}

Result<void> ControlService::start(ReplicaOptions Replication) {
  this->ReplicaNameText = Replication.Self.str();
  auto SessionsMade = SessionTable::create({});
  if (!SessionsMade)
    return tl::make_unexpected(SessionsMade.error());
  this->Sessions = std::move(*SessionsMade);
  SyncServerOptions Serving;
  Serving.Hold = this->Hooks.SyncHold;
  auto ServerMade =
      SyncServer::create(this->Publisher.state(), Serving, this->serverHooks());
  if (!ServerMade)
    return tl::make_unexpected(ServerMade.error());
  this->Server = std::move(*ServerMade);
  auto ReplicaMade =
      ConsensusReplica::create(std::move(Replication), this->replicaHooks());
  if (!ReplicaMade)
    return tl::make_unexpected(ReplicaMade.error());
  this->Replica = std::move(*ReplicaMade);
  return {};
}

ReplicaHooks ControlService::replicaHooks() {
  ReplicaHooks Made;
  Made.Send = this->Hooks.SendToReplica;
  Made.Apply = [this](LogIndex At, Term, const std::string &Payload) {
    this->State.apply(At, Payload);
    // Published once for all records of one tick: each publication compares the
    // whole state, and a restarted replica applies a long log.
    this->PublicationPending = true;
    this->requestTick();
  };
  Made.TakeSnapshot = [this] { return this->State.takeSnapshot(); };
  Made.RestoreSnapshot = [this](const std::string &Text, LogIndex) {
    auto Restored = this->State.restoreSnapshot(Text);
    if (!Restored) {
      logFor("control")->error("Snapshot is not restored: {}.",
                               Restored.error().Message);
      return;
    }
    this->Publisher.publishSnapshot(this->State.data());
  };
  Made.Now = this->Hooks.Now;
  Made.Random = this->Hooks.Random;
  Made.OnRoleChange = [this] { this->onRoleChange(); };
  return Made;
}

SyncServerHooks ControlService::serverHooks() {
  SyncServerHooks Made;
  Made.ConfirmedSince = [this](Instant Since) -> std::optional<Revision> {
    if (this->ConfirmedSince && *this->ConfirmedSince >= Since)
      return this->Publisher.state().inForce();
    this->startConfirmation();
    return std::nullopt;
  };
  Made.ParentsFor = [this](const SyncRequest &Request) {
    return this->parentsFor(Request);
  };
  Made.OnUplink = [this](Urgency How) { this->onUplink(How); };
  Made.Random = this->Hooks.Random;
  return Made;
}

void ControlService::tick() {
  Instant Now = this->Hooks.Now();
  this->Replica->tick();
  if (std::exchange(this->PublicationPending, false))
    this->publishState();
  this->Server->tick(Now);
  if (!this->isLeader())
    return;
  this->publishMembers(this->Sessions->tick(Now));
  if (Now >= this->NextDecision) {
    this->NextDecision = Now + DecisionInterval;
    this->decideMoves();
  }
}

void ControlService::publishState() {
  if (this->Publisher.publish(this->State.data()))
    this->Server->wake(this->Hooks.Now());
  this->notifyChange();
}

void ControlService::submit(const std::string &Yaml,
                            std::function<void(SubmitAnswer)> OnDone) {
  // The deadline is checked after the version, because a resend after a lost
  // answer may arrive when the deadline has passed.
  ReadOutcome Read = readConfiguration(Yaml, SubmittedFile, std::nullopt);
  if (!Read.Set)
    return OnDone({Read.All, std::nullopt, std::nullopt});
  // Only a second read with the current time reports the passed deadlines with
  // their line and column.
  auto Command = ApplyConfiguration::create(*Read.Set, this->Hooks.Wall());
  if (this->isLeader() && !Command->knownOutcome(this->State.data()) &&
      hasOverdueMove(*Read.Set, this->Hooks.Wall()))
    return OnDone(
        {readConfiguration(Yaml, SubmittedFile, this->Hooks.Wall()).All,
         std::nullopt, std::nullopt});
  this->submitCommand(*Command, std::move(OnDone));
}

void ControlService::submit(ConfigurationSet Set,
                            std::function<void(SubmitAnswer)> OnDone) {
  Findings Problems = checkConfiguration(Set);
  if (!Problems.empty())
    return OnDone({std::move(Problems), std::nullopt, std::nullopt});
  auto Command = ApplyConfiguration::create(std::move(Set), this->Hooks.Wall());
  this->submitCommand(*Command, std::move(OnDone));
}

void ControlService::submitCommand(const ApplyConfiguration &Command,
                                   std::function<void(SubmitAnswer)> OnDone) {
  if (!this->isLeader())
    return OnDone(
        {{}, std::nullopt, Error{ErrorCode::Refused, "not the leader"}});
  // An outcome from the applied records is valid only while this replica leads:
  // a former leader may lack later records.
  if (auto Known = Command.knownOutcome(this->State.data()))
    return this->confirmRead(
        [OnDone = std::move(OnDone), Known](Result<void> Confirmed) {
          if (Confirmed)
            return OnDone({{}, Known, std::nullopt});
          OnDone({{}, std::nullopt, Confirmed.error()});
        });
  auto Done = [this, OnDone](Result<LogIndex> At) {
    if (!At)
      return OnDone({{}, std::nullopt, At.error()});
    auto Outcome = this->State.outcomeOf(*At);
    if (Outcome)
      return OnDone({{}, Outcome, std::nullopt});
    OnDone({{},
            std::nullopt,
            Error{ErrorCode::Unavailable,
                  "the outcome is no longer kept by this replica; send the "
                  "set again"}});
  };
  this->Replica->propose(ControlState::encode(Command.toJson()),
                         std::move(Done));
  this->requestTick();
}

void ControlService::proposeOrder(const Json &Command, Done OnDone) {
  this->Replica->propose(ControlState::encode(Command),
                         [OnDone = std::move(OnDone)](Result<LogIndex> At) {
                           if (At)
                             return OnDone({});
                           OnDone(tl::make_unexpected(At.error()));
                         });
  this->requestTick();
}

void ControlService::setZoneInService(const ZoneName &Zone, bool InService,
                                      Done OnDone) {
  auto Command = SetZoneInService::create(Zone, InService);
  if (!Command)
    return OnDone(tl::make_unexpected(Command.error()));
  this->proposeOrder(Command->toJson(), std::move(OnDone));
}

void ControlService::requestMove(const OperatorMoveRequest &Order,
                                 Done OnDone) {
  // The state of a follower may be out of date.
  if (!this->isLeader())
    return OnDone(fail(ErrorCode::Refused, "not the leader"));
  if (StartMove::isNewestTarget(this->State.data(), Order))
    return this->confirmRead(std::move(OnDone));
  if (!this->State.data().Services.contains(Order.Service))
    return OnDone(
        fail(ErrorCode::NotFound, "service " + Order.Service.str() +
                                      " is not in the configuration set"));
  VersionName Baseline = this->mostCommonVersion(Order.Service, Order.Target);
  if (Baseline.empty())
    return OnDone(fail(ErrorCode::Unavailable,
                       "no upstream of service " + Order.Service.str() +
                           " announces a version other than " +
                           Order.Target.str()));
  auto Command = StartMove::create(Order, Baseline, this->Hooks.Wall());
  if (!Command)
    return OnDone(tl::make_unexpected(Command.error()));
  this->proposeOrder(Command->toJson(), std::move(OnDone));
}

VersionName ControlService::mostCommonVersion(const ServiceName &Service,
                                              const VersionName &Except) {
  this->View.refresh(this->Publisher.state().Members);
  std::map<VersionName, std::size_t> Upstreams;
  for (const auto &[Node, Info] : this->View.members())
    if (Info.Service == Service && Info.Version != Except &&
        !this->State.data().BadMarks.contains({Service, Info.Version}))
      ++Upstreams[Info.Version];
  auto MostCommon = std::max_element(Upstreams.begin(), Upstreams.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     });
  return MostCommon == Upstreams.end() ? VersionName() : MostCommon->first;
}

void ControlService::confirmRead(Done OnDone) {
  this->Replica->confirmRead([OnDone = std::move(OnDone)](Result<LogIndex> At) {
    if (At)
      return OnDone({});
    OnDone(tl::make_unexpected(At.error()));
  });
  this->requestTick();
}

void ControlService::receive(const ReplicaName &From, const Json &Message) {
  this->Replica->receive(From, Message);
  this->requestTick();
}

void ControlService::sync(const SyncRequest &Request,
                          SyncServer::Complete OnComplete) {
  this->Publisher.state().Cluster = this->Replica->clusterId();
  this->Server->handle(Request, this->Hooks.Now(), std::move(OnComplete));
}

void ControlService::abandonSync(const NodeName &Node, std::uint64_t Sequence) {
  this->Server->abandon(Node, Sequence);
}

void ControlService::handOverLeadership() {
  if (!this->isLeader())
    return;
  auto Target = this->Replica->transferLeadership();
  if (Target)
    logFor("control")->info("Leadership is being transferred to {}.",
                            Target->str());
  else
    logFor("control")->warn("Leadership is not transferred: {}.",
                            Target.error().Message);
}

void ControlService::onRoleChange() {
  // ConsensusReplica::create calls this before its result is assigned.
  if (!this->Replica)
    return;
  bool Leads = this->Replica->isLeader();
  if (Leads && !this->WasLeader) {
    this->Sessions->becomeLeader(this->Replica->term(),
                                 this->Publisher.state().Members,
                                 this->Hooks.Now());
    this->Driver.reset();
    logFor("control")->info("This replica became the leader in term {}.",
                            this->Replica->term().value());
  }
  if (!Leads)
    this->ConfirmedSince.reset();
  this->WasLeader = Leads;
  this->notifyChange();
}

void ControlService::onUplink(Urgency) {
  if (!this->isLeader())
    return;
  UplinkBatch Batch = this->Server->takeUplink();
  for (const auto &[Node, Report] : Batch.observations())
    this->Driver.observe(Report.Counters, this->State.data(),
                         this->Hooks.Now());
  for (const auto &[Node, Refusal] : Batch.refusals())
    logFor("control")->warn("Node {} refused revision {}: {}.", Node.str(),
                            Refusal.Refused.value(), Refusal.Reason);
  this->publishMembers(this->Sessions->applyUplink(Batch, this->Hooks.Now()));
  this->notifyChange();
}

void ControlService::publishMembers(Urgency How) {
  Instant Now = this->Hooks.Now();
  if (!this->Sessions->publish(this->Publisher.state().Members, Now))
    return;
  if (How == Urgency::Immediate)
    this->Server->wakeAll(Now);
  else
    this->Server->wake(Now);
}

void ControlService::decideMoves() {
  this->View.refresh(this->Publisher.state().Members);
  auto Payloads = this->Driver.decide(this->State.data(), this->View.members(),
                                      this->Hooks.Now(), this->Hooks.Wall());
  for (std::string &Payload : Payloads)
    this->propose(std::move(Payload));
}

void ControlService::propose(std::string Payload) {
  this->Replica->propose(std::move(Payload), [](Result<LogIndex> At) {
    if (!At)
      logFor("moves")->warn("A decision on a move was not recorded: {}.",
                            At.error().Message);
  });
  this->requestTick();
}

void ControlService::startConfirmation() {
  if (this->ConfirmationRunning || !this->isLeader())
    return;
  this->ConfirmationRunning = true;
  this->ConfirmationStartedAt = this->Hooks.Now();
  this->Replica->confirmRead([this](Result<LogIndex> At) {
    this->ConfirmationRunning = false;
    if (!At)
      return;
    this->ConfirmedSince = this->ConfirmationStartedAt;
    this->Server->wake(this->Hooks.Now());
  });
  this->requestTick();
}

std::vector<ParentCandidate>
ControlService::parentsFor(const SyncRequest &Request) {
  this->View.refresh(this->Publisher.state().Members);
  return this->View.parentsFor(Request);
}

InForceCount ControlService::inForce() const {
  return this->Sessions->inForce(this->Publisher.state().inForce());
}

void ControlService::requestTick() {
  if (this->Hooks.OnTickNeeded)
    this->Hooks.OnTickNeeded();
}

void ControlService::notifyChange() {
  if (this->Hooks.OnChange)
    this->Hooks.OnChange();
}

} // namespace amaranthward
