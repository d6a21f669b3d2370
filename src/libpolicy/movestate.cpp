#include "libpolicy/movestate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace amaranthward {
namespace {

constexpr std::array<std::pair<MovePhase, const char *>, 6> PhaseNames = {
    {{MovePhase::Pending, "pending"},
     {MovePhase::Shifting, "shifting"},
     {MovePhase::Holding, "holding"},
     {MovePhase::Done, "done"},
     {MovePhase::TakenBack, "taken_back"},
     {MovePhase::Superseded, "superseded"}}};

constexpr std::array<std::pair<MoveReason, const char *>, 9> ReasonNames = {
    {{MoveReason::None, "none"},
     {MoveReason::TargetHeld, "target_held"},
     {MoveReason::BadVersion, "bad_version"},
     {MoveReason::MarkedBad, "marked_bad"},
     {MoveReason::NoEvidence, "no_evidence"},
     {MoveReason::NoCapacity, "no_capacity"},
     {MoveReason::DeadlinePassed, "deadline_passed"},
     {MoveReason::Suspect, "suspect"},
     {MoveReason::NewTarget, "new_target"}}};

template <typename Table, typename Enum>
const char *nameIn(const Table &Names, Enum Wanted) {
  for (const auto &[Value, Name] : Names)
    if (Value == Wanted)
      return Name;
  return "unknown";
}

std::uint64_t toMicros(WallTime Time) {
  return static_cast<std::uint64_t>(
      std::max<Duration::rep>(0, Time.time_since_epoch().count()));
}

WallTime timeAt(const Json &Value, const char *Key) {
  return WallTime(Duration(static_cast<Duration::rep>(numberAt(Value, Key))));
}

Json evidenceToJson(const MoveEvidence &Evidence) {
  return {{"calls", Evidence.Calls},
          {"good", Evidence.Good},
          {"bad_route", Evidence.BadRoute.str()},
          {"slow", Evidence.BadFault == FaultKind::Slowness}};
}

MoveEvidence evidenceFromJson(const Json &Value) {
  MoveEvidence Evidence;
  Evidence.Calls = numberAt(Value, "calls");
  Evidence.Good = boolAt(Value, "good");
  Evidence.BadRoute = RouteName(textAt(Value, "bad_route"));
  Evidence.BadFault =
      boolAt(Value, "slow") ? FaultKind::Slowness : FaultKind::Failures;
  return Evidence;
}

Result<void> readSplits(const Json &Value, MoveState &State) {
  for (auto [Key, Target] :
       {std::pair("from", &State.From), std::pair("to", &State.To),
        std::pair("fallback", &State.Fallback),
        std::pair("in_force", &State.InForce)}) {
    auto Shares = splitFromJson(Value.value(Key, Json()));
    if (!Shares)
      return fail(Shares.error().Code, "move \"" + State.Id + "\", " + Key +
                                           ": " + Shares.error().Message);
    *Target = std::move(*Shares);
  }
  return {};
}

void readTimes(const Json &Value, MoveState &State) {
  State.StartedAt = timeAt(Value, "started_at");
  State.Deadline = timeAt(Value, "deadline");
  State.LastStepAt = timeAt(Value, "stepped_at");
  State.HeldSince = timeAt(Value, "held_since");
  State.EndedAt = timeAt(Value, "ended_at");
  State.Probation = timeAt(Value, "probation").time_since_epoch();
}

} // namespace

const char *toString(MovePhase Phase) { return nameIn(PhaseNames, Phase); }

const char *toString(MoveReason Reason) { return nameIn(ReasonNames, Reason); }

Result<MovePhase> parseMovePhase(const std::string &Text) {
  for (const auto &[Value, Name] : PhaseNames)
    if (Text == Name)
      return Value;
  return fail(ErrorCode::InvalidArgument,
              "move phase \"" + Text + "\" does not exist");
}

Result<MoveReason> parseMoveReason(const std::string &Text) {
  for (const auto &[Value, Name] : ReasonNames)
    if (Text == Name)
      return Value;
  return fail(ErrorCode::InvalidArgument,
              "move reason \"" + Text + "\" does not exist");
}

MoveState MoveState::endedAs(MovePhase Phase, MoveReason Reason,
                             WallTime Now) const {
  MoveState Ended = *this;
  Ended.Phase = Phase;
  Ended.Reason = Reason;
  Ended.EndedAt = Now;
  if (Phase == MovePhase::TakenBack)
    Ended.InForce = this->Fallback;
  if (Phase == MovePhase::Done)
    Ended.InForce = this->To;
  return Ended;
}

Duration MoveState::holdTime() const {
  Duration Half = (this->Deadline - this->StartedAt) / 2;
  return std::max(Duration::zero(), std::min(this->Probation, Half));
}

Share MoveState::shareOf(const VersionName &Version) const {
  return shareIn(this->InForce, Version);
}

Split MoveState::splitAt(Share Progress) const {
  auto Begin = static_cast<double>(shareIn(this->From, this->Driver).parts());
  auto End = static_cast<double>(shareIn(this->To, this->Driver).parts());
  if (Begin == End)
    return this->To;
  double Part = (Progress.parts() - Begin) / (End - Begin);
  Split Shares = this->From;
  Shares.insert(this->To.begin(), this->To.end());
  std::uint32_t Left = Share::Whole - Progress.parts();
  for (auto &[Version, Parts] : Shares) {
    double Old = shareIn(this->From, Version).parts();
    double New = shareIn(this->To, Version).parts();
    auto Wanted = static_cast<std::uint32_t>(
        std::max(0.0, std::round(Old + (New - Old) * Part)));
    Parts = Version == this->Driver ? Progress : Share(std::min(Wanted, Left));
    Left -= Version == this->Driver ? 0 : Parts.parts();
  }
  // The baseline gets the parts that rounding has left unassigned.
  if (Left > 0) {
    Share &Rest =
        Shares[this->Baseline.empty() ? this->Driver : this->Baseline];
    Rest = Share(Rest.parts() + Left);
  }
  std::erase_if(Shares,
                [](const auto &Entry) { return Entry.second == Share(); });
  return Shares;
}

Json MoveState::toJson(const MoveState &State) {
  return {{"id", State.Id},
          {"service", State.Service.str()},
          {"phase", toString(State.Phase)},
          {"reason", toString(State.Reason)},
          {"driver", State.Driver.str()},
          {"candidate", State.Candidate.str()},
          {"baseline", State.Baseline.str()},
          {"needs_evidence", State.NeedsEvidence},
          {"from", splitToJson(State.From)},
          {"to", splitToJson(State.To)},
          {"fallback", splitToJson(State.Fallback)},
          {"in_force", splitToJson(State.InForce)},
          {"started_at", toMicros(State.StartedAt)},
          {"deadline", toMicros(State.Deadline)},
          {"stepped_at", toMicros(State.LastStepAt)},
          {"held_since", toMicros(State.HeldSince)},
          {"ended_at", toMicros(State.EndedAt)},
          {"probation", toMicros(WallTime(State.Probation))},
          {"evidence", evidenceToJson(State.Evidence)},
          {"reverted", State.Reverted}};
}

Result<MoveState> MoveState::fromJson(const Json &Value) {
  MoveState State;
  State.Id = textAt(Value, "id");
  State.Service = ServiceName(textAt(Value, "service"));
  if (State.Id.empty() || State.Service.empty())
    return fail(ErrorCode::InvalidArgument,
                "move record has no id or no service");
  auto Phase = parseMovePhase(textAt(Value, "phase"));
  if (!Phase)
    return tl::make_unexpected(Phase.error());
  auto Reason = parseMoveReason(textAt(Value, "reason"));
  if (!Reason)
    return tl::make_unexpected(Reason.error());
  State.Phase = *Phase;
  State.Reason = *Reason;
  State.Driver = VersionName(textAt(Value, "driver"));
  State.Candidate = VersionName(textAt(Value, "candidate"));
  State.Baseline = VersionName(textAt(Value, "baseline"));
  State.NeedsEvidence = boolAt(Value, "needs_evidence");
  if (auto Read = readSplits(Value, State); !Read)
    return tl::make_unexpected(Read.error());
  readTimes(Value, State);
  State.Evidence = evidenceFromJson(Value.value("evidence", Json()));
  State.Reverted = boolAt(Value, "reverted");
  return State;
}

Share shareIn(const Split &Shares, const VersionName &Version) {
  auto Found = Shares.find(Version);
  return Found == Shares.end() ? Share::none() : Found->second;
}

Json splitToJson(const Split &Shares) {
  Json Value = Json::object();
  for (const auto &[Version, Parts] : Shares)
    Value[Version.str()] = Parts.parts();
  return Value;
}

Result<Split> splitFromJson(const Json &Value) {
  if (!Value.is_object())
    return fail(ErrorCode::InvalidArgument, "split is not a JSON object");
  Split Shares;
  for (const auto &[Version, Parts] : Value.items()) {
    if (!Parts.is_number_unsigned() ||
        Parts.get<std::uint64_t>() > Share::Whole)
      return fail(ErrorCode::InvalidArgument,
                  "share of version \"" + Version +
                      "\" is not an integer from 0 to 10000");
    Shares[VersionName(Version)] = Share(Parts.get<std::uint32_t>());
  }
  if (auto Checked = checkSplit(Shares); !Checked)
    return tl::make_unexpected(Checked.error());
  return Shares;
}

Result<void> checkSplit(const Split &Shares) {
  std::uint64_t Sum = 0;
  for (const auto &[Version, Parts] : Shares)
    Sum += Parts.parts();
  if (Sum != Share::Whole)
    return fail(ErrorCode::InvalidArgument,
                "shares add up to " + std::to_string(Sum) + " instead of " +
                    std::to_string(Share::Whole));
  return {};
}

} // namespace amaranthward
