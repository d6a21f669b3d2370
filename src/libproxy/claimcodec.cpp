#include "libproxy/claimcodec.h"

#include "libdistribution/membercodec.h"
#include <array>
#include <utility>

namespace amaranthward {

namespace {

constexpr std::array<std::pair<ClaimCommand::Kind, const char *>, 3>
    CommandTypeNames = {{{ClaimCommand::Kind::Claim, "claim"},
                         {ClaimCommand::Kind::Transfer, "yield"},
                         {ClaimCommand::Kind::Release, "release"}}};

constexpr std::array<std::pair<ClaimReply::Kind, const char *>, 6>
    ReplyTypeNames = {{{ClaimReply::Kind::Granted, "granted"},
                       {ClaimReply::Kind::Immature, "young"},
                       {ClaimReply::Kind::Known, "known"},
                       {ClaimReply::Kind::NotHolder, "not-holder"},
                       {ClaimReply::Kind::Full, "full"},
                       {ClaimReply::Kind::Unreachable, "unreachable"}}};

template <typename Names, typename Kind>
const char *nameOf(const Names &All, Kind Type) {
  for (const auto &[Each, Name] : All) {
    if (Each == Type)
      return Name;
  }
  return "";
}

template <typename Kind, typename Names>
std::optional<Kind> kindOf(const Names &All, const std::string &Text) {
  for (const auto &[Each, Name] : All) {
    if (Text == Name)
      return Each;
  }
  return std::nullopt;
}

Json toJson(const ClaimRecord &Record) {
  return {{"id", Record.Id.str()},
          {"node", Record.Gate.Node.str()},
          {"gate", memberToJson(Record.Gate)}};
}

Result<ClaimRecord> recordFromJson(const Json &Value) {
  auto Id = RequestId::parse(textAt(Value, "id"));
  if (!Id || !Value.contains("gate"))
    return fail(ErrorCode::InvalidArgument,
                "claim record needs \"id\" and \"gate\"");
  auto Gate = memberFromJson(NodeName(textAt(Value, "node")), Value["gate"]);
  if (!Gate)
    return tl::make_unexpected(Gate.error());
  return ClaimRecord{*Id, *Gate};
}

} // namespace

Json toJson(const ClaimCommand &Command) {
  Json Value = {{"kind", nameOf(CommandTypeNames, Command.Type)},
                {"holder", Command.Holder.value()},
                {"service", Command.Service.str()},
                {"key", Command.Key},
                {"record", toJson(Command.Record)},
                {"left_us", Command.TimeLeft.count()}};
  if (Command.PreviousId)
    Value["from"] = Command.PreviousId->str();
  return Value;
}

Result<ClaimCommand> claimCommandFromJson(const Json &Value) {
  ClaimCommand Command;
  auto Kind =
      kindOf<ClaimCommand::Kind>(CommandTypeNames, textAt(Value, "kind"));
  if (!Kind || !Value.contains("record"))
    return fail(ErrorCode::InvalidArgument,
                "claim command needs a known \"kind\" and \"record\"");
  auto Record = recordFromJson(Value["record"]);
  if (!Record)
    return tl::make_unexpected(Record.error());
  Command.Type = *Kind;
  Command.Holder = Incarnation(numberAt(Value, "holder"));
  Command.Service = ServiceName(textAt(Value, "service"));
  Command.Key = textAt(Value, "key");
  Command.Record = *Record;
  Command.PreviousId = RequestId::parse(textAt(Value, "from"));
  Command.TimeLeft =
      Duration(static_cast<std::int64_t>(numberAt(Value, "left_us")));
  return Command;
}

Json toJson(const ClaimReply &Reply) {
  Json Value = {{"kind", nameOf(ReplyTypeNames, Reply.Type)}};
  if (Reply.Type == ClaimReply::Kind::Known)
    Value["existing"] = toJson(Reply.Existing);
  return Value;
}

Result<ClaimReply> claimReplyFromJson(const Json &Value) {
  auto Kind = kindOf<ClaimReply::Kind>(ReplyTypeNames, textAt(Value, "kind"));
  if (!Kind)
    return fail(ErrorCode::InvalidArgument,
                "claim reply needs a known \"kind\"");
  ClaimReply Reply;
  Reply.Type = *Kind;
  if (Reply.Type != ClaimReply::Kind::Known)
    return Reply;
  auto Existing = recordFromJson(Value.value("existing", Json::object()));
  if (!Existing)
    return tl::make_unexpected(Existing.error());
  Reply.Existing = *Existing;
  return Reply;
}

} // namespace amaranthward
