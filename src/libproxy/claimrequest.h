#ifndef AMARANTHWARD_LIBPROXY_CLAIMREQUEST_H
#define AMARANTHWARD_LIBPROXY_CLAIMREQUEST_H

#include "libdistribution/member.h"
#include "libpolicy/deadline.h"
#include "libproxy/callheaders.h"
#include <functional>

namespace amaranthward {

/// Asks for the right to run a keyed non-idempotent request at one gate.
struct ClaimRequest {
  ServiceName Service;
  std::string Key;
  RequestId Id;
  Member Gate;
  Deadline Until;
  /// Id of the previous attempt if that one was not run. Its claim passes to
  /// \a Id.
  std::optional<RequestId> Replaces;
};

/// Result of a ClaimRequest.
struct ClaimAnswer {
  enum class Kind {
    /// The request may be sent to the gate.
    Granted,
    /// An earlier request holds the key; its response must be fetched.
    Attach,
    /// The claim was not decided; the request must not be sent.
    Unknown,
  };

  Kind Verdict = Kind::Unknown;
  /// For Attach: the earlier request and the gate that runs it.
  RequestId Id;
  Member Gate;
};

/// Places a claim and calls back with the result, later or at once.
using ClaimFunction =
    std::function<void(const ClaimRequest &, std::function<void(ClaimAnswer)>)>;

} // namespace amaranthward

#endif
