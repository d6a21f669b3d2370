#include "libdistribution/membercodec.h"

#include "libdistribution/messagefields.h"

namespace amaranthward {

namespace {

const std::string MemberPrefix = "member/";
const std::string DepartedPrefix = "departed/";

} // namespace

std::string memberKey(const NodeName &Node) {
  return MemberPrefix + Node.str();
}

Json memberToJson(const Member &Source) {
  Json Value = {{"i", Source.Start.value()},
                {"z", Source.Zone.str()},
                {"r", Source.Region.str()},
                {"a", Source.PeerAddress.str()}};
  if (!Source.Service.empty()) {
    Value["s"] = Source.Service.str();
    Value["v"] = Source.Version.str();
    Value["k"] = std::uint64_t(Source.Slots);
    Value["c"] = std::uint64_t(Source.Connections);
  }
  if (Source.Leaving)
    Value["l"] = true;
  if (Source.Starting)
    Value["n"] = true;
  return Value;
}

Result<Member> memberFromJson(const NodeName &Node, const Json &Value) {
  MessageFields Fields(Value, "member");
  Member Decoded;
  Decoded.Node = Node;
  Decoded.Start = Incarnation(Fields.number("i"));
  Decoded.Zone = ZoneName(Fields.text("z"));
  Decoded.Region = RegionName(Fields.text("r"));
  Decoded.PeerAddress = Endpoint(Fields.text("a"));
  Decoded.Service = ServiceName(Fields.textOr("s", ""));
  Decoded.Version = VersionName(Fields.textOr("v", ""));
  Decoded.Slots = static_cast<std::uint32_t>(Fields.numberOr("k", 0));
  Decoded.Connections = static_cast<std::uint32_t>(Fields.numberOr("c", 0));
  Decoded.Leaving = Fields.flag("l");
  Decoded.Starting = Fields.flag("n");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Decoded;
}

std::vector<Member> membersIn(const ResourceMap &Resources) {
  std::vector<Member> Members;
  for (auto It = Resources.lower_bound(MemberPrefix);
       It != Resources.end() && It->first.starts_with(MemberPrefix); ++It) {
    auto Decoded = memberFromJson(
        NodeName(It->first.substr(MemberPrefix.size())), It->second);
    if (Decoded)
      Members.push_back(std::move(*Decoded));
  }
  return Members;
}

std::string departedKey(const DepartedMember &Departed) {
  return DepartedPrefix + Departed.Node.str() + "/" +
         std::to_string(Departed.Start.value());
}

Json departedToJson(const DepartedMember &Departed) {
  return {{"n", Departed.Node.str()},
          {"i", Departed.Start.value()},
          {"s", Departed.Service.str()},
          {"a", Departed.PeerAddress.str()}};
}

std::vector<DepartedMember> departedIn(const ResourceMap &Resources) {
  std::vector<DepartedMember> Members;
  for (auto It = Resources.lower_bound(DepartedPrefix);
       It != Resources.end() && It->first.starts_with(DepartedPrefix); ++It) {
    MessageFields Fields(It->second, "departed member");
    DepartedMember Decoded;
    Decoded.Node = NodeName(Fields.text("n"));
    Decoded.Start = Incarnation(Fields.number("i"));
    Decoded.Service = ServiceName(Fields.text("s"));
    Decoded.PeerAddress = Endpoint(Fields.text("a"));
    if (!Fields.failure())
      Members.push_back(std::move(Decoded));
  }
  return Members;
}

} // namespace amaranthward
