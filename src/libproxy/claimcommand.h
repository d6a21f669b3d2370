#ifndef AMARANTHWARD_LIBPROXY_CLAIMCOMMAND_H
#define AMARANTHWARD_LIBPROXY_CLAIMCOMMAND_H

#include "libdistribution/member.h"
#include "libproxy/callheaders.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Times of the idempotency claims. All nodes must use the same values.
struct ClaimTimes {
  /// How long the claim of a request is kept after the latest time at which the
  /// request can end.
  Duration Retention = std::chrono::seconds(120);
  /// Longest timeout of a route that takes requests with idempotency keys.
  Duration MaxCallDuration = std::chrono::seconds(60);
  /// Longest time until every connected node has received a change of the list
  /// of members.
  Duration MaxMembershipLag = std::chrono::seconds(10);

  /// Longest time for which a claim can affect a later request.
  Duration horizon() const {
    return this->Retention + this->MaxCallDuration + this->MaxMembershipLag;
  }
};

/// A request that claims a key, and the gate that runs it.
struct ClaimRecord {
  RequestId Id;
  Member Gate;
};

/// A node that stores claims, as the sender knows it.
struct ClaimHolder {
  NodeName Node;
  Incarnation Start;
  Endpoint Address;

  friend bool operator==(const ClaimHolder &, const ClaimHolder &) = default;
};

/// Command from an entry to one holder.
struct ClaimCommand {
  enum class Kind {
    /// Records the claim unless another request holds the key.
    Claim,
    /// Replaces the sender's claim PreviousId by the claim Record of another
    /// request. On the wire: "yield".
    Transfer,
    /// Erases the sender's claim Record.
    Release,
  };

  Kind Type = Kind::Claim;
  /// Incarnation of the receiver as the sender knows it. A later incarnation
  /// replies NotHolder, because it has lost the claims of the earlier one.
  Incarnation Holder;
  ServiceName Service;
  std::string Key;
  ClaimRecord Record;
  /// For Claim: an earlier attempt of the same entry that was not run and whose
  /// claim Record takes over. For Transfer: the claim that Record replaces.
  std::optional<RequestId> PreviousId;
  /// Time left until the request's deadline.
  Duration TimeLeft = Duration::zero();
};

/// Reply of a holder to a command.
struct ClaimReply {
  enum class Kind {
    /// The claim is recorded, and no other claim exists.
    Granted,
    /// The claim is recorded but does not count towards the majority: the
    /// receiver has been a gate of the service for too short a time to know
    /// that
    /// no other claim exists. See ClaimRanking::isMature(). On the wire:
    /// "young".
    Immature,
    /// The request in Existing holds the key.
    Known,
    /// The receiver is another incarnation, or in its view not one of the three
    /// holders of this key.
    NotHolder,
    /// The table of claims is full.
    Full,
    /// No valid reply arrived in time.
    Unreachable,
  };

  Kind Type = Kind::Unreachable;
  /// For Known.
  ClaimRecord Existing;
};

} // namespace amaranthward

#endif
