#ifndef AMARANTHWARD_LIBPROXY_REQUESTLOG_H
#define AMARANTHWARD_LIBPROXY_REQUESTLOG_H

#include "libcore/eventlog.h"
#include "libpolicy/admissioncontrol.h"
#include "libproxy/callheaders.h"
#include "libproxy/responsecheck.h"

namespace amaranthward {

/// Names of the log parts of the data path.
namespace logpart {
inline constexpr const char *Entry = "entry";
inline constexpr const char *Gate = "gate";
} // namespace logpart

/// Starts the line of a decision on a request: field "request" is the id that
/// the caller gave, where deployments have one, and "call" the one that the
/// entry gave to the present attempt. Both are the same at entry and gate.
LogFields requestFields(const HeaderNames &Names, const HttpHeaders &Received,
                        const std::string &Call);

/// Adds the load of the gate that an admission was decided by.
void addStatus(LogFields &Fields, const AdmissionStatus &Status);

} // namespace amaranthward

#endif
