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
  /// The request id of the attempt before, when that one was not run. The
  /// claim moves from it to \a Id.
  std::optional<RequestId> Replaces;
};

struct ClaimAnswer {
  enum class Kind {
    /// The request may be sent to the gate.
    Granted,
    /// An earlier request holds the key; its response is to be fetched.
    Attach,
    /// Nothing can be said; the request must not be sent.
    Unknown,
  };

  Kind Verdict = Kind::Unknown;
  /// For Attach: the earlier request and the gate that runs it.
  RequestId Id;
  Member Gate;
};

using ClaimFunction =
    std::function<void(const ClaimRequest &, std::function<void(ClaimAnswer)>)>;

} // namespace amaranthward

#endif
