#ifndef AMARANTHWARD_LIBPROXY_CLAIMRANKING_H
#define AMARANTHWARD_LIBPROXY_CLAIMRANKING_H

#include "libproxy/claimcommand.h"
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace amaranthward {

/// Ranks the gates of a service as holders of its claims by rendezvous hashing.
/// Gates that departed within ClaimTimes::horizon() are included, because they
/// may hold claims that still matter. Entries use it to find the holders, and
/// holders use it to refuse commands of entries with an outdated member list.
class ClaimRanking {
public:
  static constexpr std::size_t HolderCount = 3;
  /// Time after which a change of the list of members has reached all nodes.
  static constexpr Duration MembershipSettleTime = std::chrono::seconds(4);

  ClaimRanking(NodeName Self, Incarnation Start, ClaimTimes Times)
      : Self(std::move(Self), Start), Times(Times) {}

  Incarnation self() const { return this->Self.second; }

  /// Takes the complete list of members; gates not in it have departed.
  void update(const std::vector<Member> &Members, Instant Now);

  /// The HolderCount highest-ranked gates for the key; fewer when the service
  /// has fewer.
  std::vector<ClaimHolder> holders(const ServiceName &Service,
                                   const std::string &Key, Instant Now) const;
  /// Whether this node is one of holders().
  bool isHolder(const ServiceName &Service, const std::string &Key,
                Instant Now) const;
  /// Records which services the current configuration has. A gate that had been
  /// known for MembershipSettleTime when its service first appeared has missed
  /// no claim, because no request could be routed to the service before.
  void recordServices(const std::function<bool(const ServiceName &)> &Exists,
                      Instant Now);
  /// Whether this node has been a known gate of the service for
  /// ClaimTimes::horizon(), or since before the service appeared. Only then can
  /// it know that no earlier claim exists.
  bool isMature(const ServiceName &Service, Instant Now) const;

private:
  using GateId = std::pair<NodeName, Incarnation>;

  struct Gate {
    Endpoint Address;
    Instant FirstSeen;
    std::optional<Instant> DepartedAt;
  };

  /// Whether the gate is present or departed within the horizon.
  bool isRanked(const Gate &Candidate, Instant Now) const;
  const Gate *ownGate(const ServiceName &Service) const;

  GateId Self;
  ClaimTimes Times;
  std::map<ServiceName, std::map<GateId, Gate>> Gates;
  /// Services of this gate that were missing in the current configuration.
  std::set<ServiceName> AbsentServices;
  /// Services that appeared after this gate was known to all nodes.
  std::set<ServiceName> KnownSinceCreation;
};

} // namespace amaranthward

#endif
