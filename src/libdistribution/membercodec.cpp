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

Json memberToJson(const Member &Subject) {
  Json Value = {{"i", Subject.Start.value()},
                {"z", Subject.Zone.str()},
                {"r", Subject.Region.str()},
                {"a", Subject.PeerAddress.str()}};
  if (!Subject.Service.empty()) {
    Value["s"] = Subject.Service.str();
    Value["v"] = Subject.Version.str();
    Value["k"] = std::uint64_t(Subject.Slots);
    Value["c"] = std::uint64_t(Subject.Connections);
  }
  if (Subject.Leaving)
    Value["l"] = true;
  return Value;
}

Result<Member> memberFromJson(const NodeName &Node, const Json &Value) {
  MessageFields Fields(Value, "member");
  Member Subject;
  Subject.Node = Node;
  Subject.Start = Incarnation(Fields.number("i"));
  Subject.Zone = ZoneName(Fields.text("z"));
  Subject.Region = RegionName(Fields.text("r"));
  Subject.PeerAddress = Endpoint(Fields.text("a"));
  Subject.Service = ServiceName(Fields.textOr("s", ""));
  Subject.Version = VersionName(Fields.textOr("v", ""));
  Subject.Slots = static_cast<std::uint32_t>(Fields.numberOr("k", 0));
  Subject.Connections = static_cast<std::uint32_t>(Fields.numberOr("c", 0));
  Subject.Leaving = Fields.flag("l");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Subject;
}

std::vector<Member> membersIn(const ResourceMap &Resources) {
  std::vector<Member> All;
  for (auto It = Resources.lower_bound(MemberPrefix);
       It != Resources.end() && It->first.starts_with(MemberPrefix); ++It) {
    auto One = memberFromJson(NodeName(It->first.substr(MemberPrefix.size())),
                              It->second);
    if (One)
      All.push_back(std::move(*One));
  }
  return All;
}

std::string departedKey(const DepartedMember &Subject) {
  return DepartedPrefix + Subject.Node.str() + "/" +
         std::to_string(Subject.Start.value());
}

Json departedToJson(const DepartedMember &Subject) {
  return {{"n", Subject.Node.str()},
          {"i", Subject.Start.value()},
          {"s", Subject.Service.str()},
          {"a", Subject.PeerAddress.str()}};
}

std::vector<DepartedMember> departedIn(const ResourceMap &Resources) {
  std::vector<DepartedMember> All;
  for (auto It = Resources.lower_bound(DepartedPrefix);
       It != Resources.end() && It->first.starts_with(DepartedPrefix); ++It) {
    MessageFields Fields(It->second, "departed member");
    DepartedMember One;
    One.Node = NodeName(Fields.text("n"));
    One.Start = Incarnation(Fields.number("i"));
    One.Service = ServiceName(Fields.text("s"));
    One.PeerAddress = Endpoint(Fields.text("a"));
    if (!Fields.failure())
      All.push_back(std::move(One));
  }
  return All;
}

} // namespace amaranthward
