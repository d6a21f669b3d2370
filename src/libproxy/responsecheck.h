#ifndef AMARANTHWARD_LIBPROXY_RESPONSECHECK_H
#define AMARANTHWARD_LIBPROXY_RESPONSECHECK_H

#include "libconfig/settings.h"
#include "libnet/httpmessage.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Why the response of an upstream must not be sent to the caller.
enum class ResponseFault {
  None,
  /// Its request id is that of another request, or absent.
  WrongRequest,
  /// The upstream states that it did not run the request.
  NotExecuted,
  /// An instance other than the expected one listens on the address.
  OtherInstance,
  /// A 2xx response without the signature, or with a content encoding.
  Unsigned,
  /// Callers take its status as "not run", but the upstream does not state that
  /// it did not run the request.
  UnconfirmedNotRun,
};

/// Checks the head of a response. \a Request has the headers as sent. Checks
/// whose header name is not configured are skipped.
ResponseFault checkResponse(const HeaderNames &Names,
                            const HttpHeaders &Request,
                            const HttpResponseHead &Response);

/// Whether callers take the status to mean that the request did not run.
bool impliesNotRun(int Status);

} // namespace amaranthward

#endif
