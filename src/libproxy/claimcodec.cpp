#include "libproxy/claimcodec.h"

#include "libdistribution/membercodec.h"
#include <array>
#include <utility>

namespace amaranthward {

namespace {

constexpr std::array<std::pair<ClaimCommand::Kind, const char *>, 3>
    CommandTypeNames = {{{ClaimCommand::Kind::Claim, "claim"},
                         {ClaimCommand::Kind::Yield, "yield"},
                         {ClaimCommand::Kind::Release, "release"}}};

constexpr std::array<std::pair<ClaimReply::Kind, const char *>, 6>
    ReplyTypeNames = {{{ClaimReply::Kind::Granted, "granted"},
                       {ClaimReply::Kind::Young, "young"},
                       {ClaimReply::Kind::Known, "known"},
                       {ClaimReply::Kind::NotHolder, "not-holder"},
                       {ClaimReply::Kind::Full, "full"},
                       {ClaimReply::Kind::Unreachable, "unreachable"}}};

template <typename Names, typename Kind>
const char *nameOf(const Names &All, Kind What) {
  for (const auto &[Each, Name] : All) {
    if (Each == What)
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
    return fail(ErrorCode::InvalidArgument, "claim record is malformed");
  auto Gate = memberFromJson(NodeName(textAt(Value, "node")), Value["gate"]);
  if (!Gate)
    return tl::make_unexpected(Gate.error());
  return ClaimRecord{*Id, *Gate};
}

} // namespace

Json toJson(const ClaimCommand &Order) {
  Json Value = {{"kind", nameOf(CommandTypeNames, Order.What)},
                {"holder", Order.Holder.value()},
                {"service", Order.Service.str()},
                {"key", Order.Key},
                {"record", toJson(Order.Record)},
                {"left_us", Order.TimeLeft.count()}};
  if (Order.From)
    Value["from"] = Order.From->str();
  return Value;
}

Result<ClaimCommand> claimCommandFromJson(const Json &Value) {
  ClaimCommand Order;
  auto Kind =
      kindOf<ClaimCommand::Kind>(CommandTypeNames, textAt(Value, "kind"));
  if (!Kind || !Value.contains("record"))
    return fail(ErrorCode::InvalidArgument, "claim order is malformed");
  auto Record = recordFromJson(Value["record"]);
  if (!Record)
    return tl::make_unexpected(Record.error());
  Order.What = *Kind;
  Order.Holder = Incarnation(numberAt(Value, "holder"));
  Order.Service = ServiceName(textAt(Value, "service"));
  Order.Key = textAt(Value, "key");
  Order.Record = *Record;
  Order.From = RequestId::parse(textAt(Value, "from"));
  Order.TimeLeft =
      Duration(static_cast<std::int64_t>(numberAt(Value, "left_us")));
  return Order;
}

Json toJson(const ClaimReply &Reply) {
  Json Value = {{"kind", nameOf(ReplyTypeNames, Reply.What)}};
  if (Reply.What == ClaimReply::Kind::Known)
    Value["existing"] = toJson(Reply.Existing);
  return Value;
}

Result<ClaimReply> claimReplyFromJson(const Json &Value) {
  auto Kind = kindOf<ClaimReply::Kind>(ReplyTypeNames, textAt(Value, "kind"));
  if (!Kind)
    return fail(ErrorCode::InvalidArgument, "claim reply is malformed");
  ClaimReply Reply;
  Reply.What = *Kind;
  if (Reply.What != ClaimReply::Kind::Known)
    return Reply;
  auto Existing = recordFromJson(Value.value("existing", Json::object()));
  if (!Existing)
    return tl::make_unexpected(Existing.error());
  Reply.Existing = *Existing;
  return Reply;
}

} // namespace amaranthward
