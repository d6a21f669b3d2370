#ifndef AMARANTHWARD_LIBPROXY_CLAIMCOMMAND_H
#define AMARANTHWARD_LIBPROXY_CLAIMCOMMAND_H

#include "libdistribution/member.h"
#include "libproxy/callheaders.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Times that all nodes must use alike for idempotency claims.
struct ClaimTimes {
  /// How long the outcome of a finished request is remembered.
  Duration Retention = std::chrono::seconds(120);
  /// Longest timeout of a route with keyed requests.
  Duration MaxCallDuration = std::chrono::seconds(60);
  /// Time until a change of the members has reached every connected node.
  Duration MaxMembershipLag = std::chrono::seconds(10);

  /// Longest time for which a claim can matter to a later request.
  Duration horizon() const {
    return this->Retention + this->MaxCallDuration + this->MaxMembershipLag;
  }
};

/// A request that claims a key, and the gate that is to run it.
struct ClaimRecord {
  RequestId Id;
  Member Gate;
};

/// One node that keeps claims, as the sender knows it.
struct ClaimHolder {
  NodeName Node;
  Incarnation Start;
  Endpoint Address;

  friend bool operator==(const ClaimHolder &, const ClaimHolder &) = default;
};

/// Message from an entry to one holder.
struct ClaimCommand {
  enum class Kind {
    /// Records the claim unless another request has the key.
    Claim,
    /// Gives up the own claim From in favour of Record.
    Yield,
    /// Erases the own claim Record.
    Release,
  };

  Kind What = Kind::Claim;
  /// Incarnation of the receiver as the sender knows it. Another one answers
  /// NotHolder, because it has lost the claims of the first.
  Incarnation Holder;
  ServiceName Service;
  std::string Key;
  ClaimRecord Record;
  /// For Claim: an earlier attempt of the same entry that was not run; the
  /// claim moves to Record. For Yield: the claim that is given up.
  std::optional<RequestId> From;
  /// Time left until the request's deadline.
  Duration TimeLeft = Duration::zero();
};

/// A holder's answer.
struct ClaimReply {
  enum class Kind {
    /// Recorded for this request.
    Granted,
    /// Recorded, but the holder has watched for too short a time to know that
    /// no other claim exists. Does not count.
    Young,
    /// Existing holds the key.
    Known,
    /// Another incarnation, or not one of the first three for this key in the
    /// receiver's view.
    NotHolder,
    /// No room for another claim.
    Full,
    /// No answer in time.
    Unreachable,
  };

  Kind What = Kind::Unreachable;
  ClaimRecord Existing;
};

} // namespace amaranthward

#endif
