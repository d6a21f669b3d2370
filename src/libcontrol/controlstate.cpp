#include "libcontrol/controlstate.h"

#include "libcontrol/recordmove.h"
#include "libcontrol/setzoneinservice.h"
#include "libcontrol/startmove.h"
#include "libcore/compression.h"
#include "libcore/log.h"

namespace amaranthward {

void ControlState::apply(LogIndex At, const std::string &Payload) {
  Revision Now(At.value());
  this->Data.Applied = Now;
  auto Text = decompressText(Payload, MaxRecordBytes);
  auto Record =
      Text ? parseJson(*Text) : Result<Json>(tl::make_unexpected(Text.error()));
  if (!Record) {
    logFor("control")->error(
        "Log record {} cannot be decoded and is skipped: {}.", At.value(),
        Record.error().Message);
    return;
  }
  std::string Kind = textAt(*Record, "kind");
  if (Kind == ApplyConfiguration::Kind) {
    auto Command = ApplyConfiguration::fromJson(*Record);
    if (!Command)
      return;
    this->Outcomes[At] = Command->execute(this->Data, Now);
    if (this->Outcomes.size() > MaxOutcomes)
      this->Outcomes.erase(this->Outcomes.begin());
  } else if (Kind == RecordMove::Kind) {
    if (auto Command = RecordMove::fromJson(*Record))
      Command->execute(this->Data, Now);
  } else if (Kind == CloseMove::Kind) {
    if (auto Command = CloseMove::fromJson(*Record))
      Command->execute(this->Data, Now);
  } else if (Kind == SetZoneInService::Kind) {
    if (auto Command = SetZoneInService::fromJson(*Record))
      Command->execute(this->Data, Now);
  } else if (Kind == StartMove::Kind) {
    if (auto Command = StartMove::fromJson(*Record))
      Command->execute(this->Data, Now);
  }
}

std::string ControlState::encode(const Json &Command) {
  return compressText(dumpJson(Command));
}

std::string ControlState::takeSnapshot() const {
  return compressText(dumpJson(ControlData::toJson(this->Data)));
}

Result<void> ControlState::restoreSnapshot(const std::string &Text) {
  auto Plain = decompressText(Text, MaxSnapshotBytes);
  if (!Plain)
    return fail(ErrorCode::Corrupt,
                "control snapshot cannot be decompressed: " +
                    Plain.error().Message);
  auto Value = parseJson(*Plain);
  if (!Value)
    return fail(ErrorCode::Corrupt,
                "control snapshot is not JSON: " + Value.error().Message);
  auto Restored = ControlData::fromJson(*Value);
  if (!Restored)
    return fail(ErrorCode::Corrupt,
                "control snapshot is malformed: " + Restored.error().Message);
  this->Data = std::move(*Restored);
  this->Outcomes.clear();
  return {};
}

std::optional<ApplyOutcome> ControlState::outcomeOf(LogIndex At) const {
  auto Found = this->Outcomes.find(At);
  if (Found == this->Outcomes.end())
    return std::nullopt;
  return Found->second;
}

} // namespace amaranthward
