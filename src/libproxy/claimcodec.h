#ifndef AMARANTHWARD_LIBPROXY_CLAIMCODEC_H
#define AMARANTHWARD_LIBPROXY_CLAIMCODEC_H

#include "libcore/json.h"
#include "libproxy/claimcommand.h"

namespace amaranthward {

Json toJson(const ClaimCommand &Command);
/// Fails with InvalidArgument on a missing or malformed field.
Result<ClaimCommand> claimCommandFromJson(const Json &Value);
Json toJson(const ClaimReply &Reply);
/// Fails with InvalidArgument on a missing or malformed field.
Result<ClaimReply> claimReplyFromJson(const Json &Value);

} // namespace amaranthward

#endif
