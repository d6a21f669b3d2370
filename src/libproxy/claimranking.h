#ifndef AMARANTHWARD_LIBPROXY_CLAIMRANKING_H
#define AMARANTHWARD_LIBPROXY_CLAIMRANKING_H

#include "libproxy/claimcommand.h"
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace amaranthward {

/// Ranks the gates of a service, live or departed within the horizon, as
/// holders of its claims. Entries use it to find holders, and holders to refuse
/// orders of entries whose view is too old.
class ClaimRanking {
public:
  static constexpr std::size_t HolderCount = 3;
  /// Time in which a change of the members is in force everywhere.
  static constexpr Duration MembershipSettleTime = std::chrono::seconds(4);

  ClaimRanking(NodeName Self, Incarnation Start, ClaimTimes Times)
      : Self(std::move(Self), Start), Times(Times) {}

  Incarnation self() const { return this->Self.second; }

  /// Takes over the complete list of members.
  void update(const std::vector<Member> &Members, Instant Now);

  /// The first three gates for the key; fewer when the service has fewer.
  std::vector<ClaimHolder> holders(const ServiceName &Service,
                                   const std::string &Key, Instant Now) const;
  /// Whether this node is one of them.
  bool isHolder(const ServiceName &Service, const std::string &Key,
                Instant Now) const;
  /// Notes which services the state in force has. A gate that was known for
  /// \a MembershipSettleTime when its service first appeared has missed no
  /// claim, since nothing could be routed to the service before.
  void recordServices(const std::function<bool(const ServiceName &)> &Exists,
                      Instant Now);
  /// Whether this node has been a known gate of the service for the horizon,
  /// or since before the service appeared. Only then can it know that no
  /// earlier claim exists.
  bool isMature(const ServiceName &Service, Instant Now) const;

private:
  using GateId = std::pair<NodeName, Incarnation>;

  struct Gate {
    Endpoint Address;
    Instant FirstSeen;
    std::optional<Instant> DepartedAt;
  };

  bool counts(const Gate &One, Instant Now) const;
  const Gate *own(const ServiceName &Service) const;

  GateId Self;
  ClaimTimes Times;
  std::map<ServiceName, std::map<GateId, Gate>> Gates;
  /// Services of this gate that the state in force did not have.
  std::set<ServiceName> Absent;
  std::set<ServiceName> Founded;
};

} // namespace amaranthward

#endif
