#include "libcontrol/applyconfiguration.h"

#include "libconfig/configurationcodec.h"
#include "libpolicy/movestart.h"

namespace amaranthward {

namespace {

// Time that a move may take when the service has no move section.
constexpr Duration DefaultFinishWithin = std::chrono::minutes(5);

WallTime deadlineOf(const ServiceSpec &Spec, WallTime AcceptedAt) {
  if (Spec.Move && Spec.Move->FinishBy)
    return *Spec.Move->FinishBy;
  if (Spec.Move && Spec.Move->FinishWithin)
    return AcceptedAt + *Spec.Move->FinishWithin;
  return AcceptedAt + DefaultFinishWithin;
}

Duration probationOf(const ServiceSpec &Spec) {
  return Spec.Move ? Spec.Move->Probation : MoveSpec().Probation;
}

} // namespace

ApplyConfiguration::ApplyConfiguration(ConfigurationSet Set,
                                       WallTime SubmittedAt)
    : Set(std::move(Set)), Digest(digestOf(this->Set)),
      SubmittedAt(SubmittedAt) {}

ApplyConfiguration::ApplyConfiguration(ConfigurationSet Set, std::string Digest,
                                       WallTime SubmittedAt)
    : Set(std::move(Set)), Digest(std::move(Digest)), SubmittedAt(SubmittedAt) {
}

Result<ApplyConfiguration> ApplyConfiguration::create(ConfigurationSet Set,
                                                      WallTime SubmittedAt) {
  return ApplyConfiguration(std::move(Set), SubmittedAt);
}

Result<ApplyConfiguration> ApplyConfiguration::fromJson(const Json &Value) {
  auto Set = configurationFromJson(Value.value("set", Json()));
  if (!Set)
    return tl::make_unexpected(Set.error());
  WallTime SubmittedAt(
      Duration(static_cast<std::int64_t>(numberAt(Value, "submitted_at"))));
  // The digest is part of the record because a restarted replica reads many
  // records and computing it for each would slow the restart.
  std::string Digest = textAt(Value, "digest");
  if (Digest.empty())
    return ApplyConfiguration(std::move(*Set), SubmittedAt);
  return ApplyConfiguration(std::move(*Set), std::move(Digest), SubmittedAt);
}

Json ApplyConfiguration::toJson() const {
  return {{"kind", Kind},
          {"set", amaranthward::toJson(this->Set)},
          {"digest", this->Digest},
          {"submitted_at", this->SubmittedAt.time_since_epoch().count()}};
}

bool ApplyConfiguration::isRepeat(const AcceptedSet &Accepted,
                                  const ControlData &Data) const {
  if (Accepted.Digest == this->Digest)
    return true;
  // A set accepted by an earlier build has the digest of that build, which says
  // nothing about fields that are not decoded. Of the current set the text is
  // still there.
  if (Accepted.Digest != formerDigestOf(this->Set))
    return false;
  bool IsCurrent = Data.Current && Data.Current->Version == Accepted.Version;
  return !IsCurrent || Data.Current->Source == this->Set.Source;
}

std::optional<ApplyOutcome>
ApplyConfiguration::knownOutcome(const ControlData &Data) const {
  for (const AcceptedSet &Accepted : Data.History) {
    if (Accepted.Version != this->Set.Version)
      continue;
    auto What = this->isRepeat(Accepted, Data) ? ApplyOutcome::Kind::Repeated
                                               : ApplyOutcome::Kind::Conflict;
    return ApplyOutcome{What, Accepted};
  }
  const AcceptedSet *Newest = Data.newest();
  if (Newest && this->Set.Version < Newest->Version)
    return ApplyOutcome{ApplyOutcome::Kind::Stale, *Newest};
  OperatorVersion Current = Newest ? Newest->Version : OperatorVersion();
  if (this->Set.Base && *this->Set.Base != Current)
    return ApplyOutcome{ApplyOutcome::Kind::BaseMismatch,
                        Newest ? *Newest : AcceptedSet()};
  return std::nullopt;
}

ApplyOutcome ApplyConfiguration::execute(ControlData &Data, Revision At) const {
  if (auto Known = this->knownOutcome(Data))
    return *Known;
  AcceptedSet Accepted{this->Set.Version, this->Digest, At, this->SubmittedAt};
  Data.History.push_back(Accepted);
  if (Data.History.size() > ControlData::MaxHistory)
    Data.History.pop_front();
  Data.Current = this->Set;
  Data.Changed = At;
  this->removeMissingServices(Data);
  for (const ServiceSpec &Spec : this->Set.Services)
    this->updateService(Data, At, Spec);
  return ApplyOutcome{ApplyOutcome::Kind::Accepted, Accepted};
}

void ApplyConfiguration::updateService(ControlData &Data, Revision At,
                                       const ServiceSpec &Spec) const {
  Split Target = withoutZeroShares(Spec.Split);
  auto [Entry, IsNew] = Data.Services.try_emplace(Spec.Name);
  ServiceState &State = Entry->second;
  // When upstreams announce the versions, an operator's order starts a move
  // (StartMove); the set does not.
  if (Spec.Versions.empty())
    return;
  if (IsNew) {
    State.InForce = Target;
    return;
  }
  const Split &Current =
      State.hasOpenMove() ? State.Move->State.To : State.InForce;
  if (Target != withoutZeroShares(Current))
    this->beginMove(Data, At, Spec, State);
}

void ApplyConfiguration::beginMove(ControlData &Data, Revision At,
                                   const ServiceSpec &Spec,
                                   ServiceState &State) const {
  MoveRequest Request;
  Request.Id = Spec.Name.str() + '-' + std::to_string(At.value());
  Request.Service = Spec.Name;
  Request.To = withoutZeroShares(Spec.Split);
  Request.Deadline = deadlineOf(Spec, this->SubmittedAt);
  Request.Probation = probationOf(Spec);
  std::optional<MoveState> Last;
  if (State.Move)
    Last = State.Move->State;
  auto Start =
      MoveStart::create(this->SubmittedAt, Request, State.InForce, Last);
  if (!Start)
    return;
  if (Start->Superseded)
    Data.addEvent(*Start->Superseded, this->SubmittedAt);
  Data.addEvent(Start->Begun, this->SubmittedAt);
  State.Move = MoveRecord{std::move(Start->Begun), 0, At};
}

void ApplyConfiguration::removeMissingServices(ControlData &Data) const {
  for (auto Entry = Data.Services.begin(); Entry != Data.Services.end();) {
    if (this->Set.findService(Entry->first)) {
      ++Entry;
      continue;
    }
    if (Entry->second.hasOpenMove()) {
      MoveState Ended = Entry->second.Move->State;
      Ended.Phase = MovePhase::Superseded;
      Ended.Reason = MoveReason::NewTarget;
      Ended.EndedAt = this->SubmittedAt;
      Data.addEvent(Ended, this->SubmittedAt);
    }
    Entry = Data.Services.erase(Entry);
  }
}

} // namespace amaranthward
