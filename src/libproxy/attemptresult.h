#ifndef AMARANTHWARD_LIBPROXY_ATTEMPTRESULT_H
#define AMARANTHWARD_LIBPROXY_ATTEMPTRESULT_H

#include "libpolicy/upstreamselector.h"
#include "libproxy/forwardattempt.h"

namespace amaranthward {

/// True for the reason of a gate that will not take work for a while.
bool isLeaving(const std::string &Reason);

/// True for the reason of a gate that has no room for the call now.
bool isFull(const std::string &Reason);

/// The attempt ended at the gate and no byte of it reached an upstream.
bool isRefusedByGate(const AttemptFailure &Failure);

/// What the failure says about the upstream, for the upstream choice.
AttemptResult resultOf(const AttemptFailure &Failure);

} // namespace amaranthward

#endif
