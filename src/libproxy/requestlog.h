#ifndef AMARANTHWARD_LIBPROXY_REQUESTLOG_H
#define AMARANTHWARD_LIBPROXY_REQUESTLOG_H

#include "libcore/eventlog.h"
#include "libpolicy/admissioncontrol.h"
#include "libproxy/callheaders.h"
#include "libproxy/responsecheck.h"

namespace amaranthward {

/// Values of the log field that names the part of the data path.
namespace logpart {
inline constexpr const char *Entry = "entry";
inline constexpr const char *Gate = "gate";
} // namespace logpart

/// Returns the log fields that identify a request: "request" is the id given by
/// the caller, if HeaderNames::RequestId is set, and "call" is the id that the
/// entry gave to the attempt. Entry and gate log the same values.
LogFields requestFields(const HeaderNames &Names, const HttpHeaders &Received,
                        const std::string &Call);

/// Adds the state of the admission control on which a decision was based.
void addStatus(LogFields &Fields, const AdmissionStatus &Status);

} // namespace amaranthward

#endif
