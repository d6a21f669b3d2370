#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBERCODEC_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBERCODEC_H

#include "libcore/resource.h"
#include "libdistribution/member.h"
#include <string>
#include <vector>

namespace amaranthward {

/// Key of a member resource: "member/NODE".
std::string memberKey(const NodeName &Node);
/// Encodes the value of a member resource. The node name is part of the key
/// and is not repeated in the value.
Json memberToJson(const Member &Source);
/// Fails with InvalidArgument on a missing or mistyped field.
Result<Member> memberFromJson(const NodeName &Node, const Json &Value);
/// Decodes all member resources, ordered by node name. Malformed entries are
/// skipped.
std::vector<Member> membersIn(const ResourceMap &Resources);

/// An incarnation of a node whose session ended because the node left, the
/// session expired, or a newer incarnation replaced it.
struct DepartedMember {
  NodeName Node;
  Incarnation Start;
  ServiceName Service;
  Endpoint PeerAddress;

  friend bool operator==(const DepartedMember &,
                         const DepartedMember &) = default;
};

/// Key of a departed-member resource: "departed/NODE/INCARNATION".
std::string departedKey(const DepartedMember &Departed);
Json departedToJson(const DepartedMember &Departed);
/// Decodes all departed-member resources in key order. The control leader
/// removes them after SessionOptions::Retention. Malformed entries are skipped.
std::vector<DepartedMember> departedIn(const ResourceMap &Resources);

} // namespace amaranthward

#endif
