#ifndef AMARANTHWARD_LIBPROXY_ATTEMPTRESULT_H
#define AMARANTHWARD_LIBPROXY_ATTEMPTRESULT_H

#include "libpolicy/upstreamselector.h"
#include "libproxy/forwardattempt.h"

namespace amaranthward {

/// Whether \a Reason, the reason header of a gate, means that the gate takes no
/// requests for some time.
bool isLeaving(const std::string &Reason);

/// Whether \a Reason means that the gate has no capacity for the call now.
bool isFull(const std::string &Reason);

/// Whether the attempt ended at the gate and no byte of it reached an upstream.
bool isRefusedByGate(const AttemptFailure &Failure);

/// Classifies the failure for the upstream selection.
AttemptResult resultOf(const AttemptFailure &Failure);

} // namespace amaranthward

#endif
