#ifndef AMARANTHWARD_LIBDISTRIBUTION_MEMBERCODEC_H
#define AMARANTHWARD_LIBDISTRIBUTION_MEMBERCODEC_H

#include "libcore/resource.h"
#include "libdistribution/member.h"
#include <string>
#include <vector>

namespace amaranthward {

/// "member/NODE".
std::string memberKey(const NodeName &Node);
/// The value of a member resource; the node's name is in the key only.
Json memberToJson(const Member &Source);
/// Fails with InvalidArgument on a missing or mistyped field.
Result<Member> memberFromJson(const NodeName &Node, const Json &Value);
/// All members of the member stream, by name; malformed ones are left out.
std::vector<Member> membersIn(const ResourceMap &Resources);

/// An incarnation that left, expired or was replaced.
struct DepartedMember {
  NodeName Node;
  Incarnation Start;
  ServiceName Service;
  Endpoint PeerAddress;

  friend bool operator==(const DepartedMember &,
                         const DepartedMember &) = default;
};

/// "departed/NODE/INCARNATION".
std::string departedKey(const DepartedMember &Departed);
Json departedToJson(const DepartedMember &Departed);
/// Incarnations that departed within the retention time, in key order.
std::vector<DepartedMember> departedIn(const ResourceMap &Resources);

} // namespace amaranthward

#endif
