#ifndef AMARANTHWARD_LIBPROXY_RESPONSECHECK_H
#define AMARANTHWARD_LIBPROXY_RESPONSECHECK_H

#include "libconfig/settings.h"
#include "libnet/httpmessage.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Why the response of an upstream is not passed on as the answer.
enum class ResponseFault {
  None,
  /// It answers another request.
  Foreign,
  /// The upstream states that it did not run the request.
  NotExecuted,
  /// Another instance has the address of the one that was expected.
  OtherInstance,
  /// A success without the signature, or with an encoding nobody asked for.
  Unsigned,
  /// Its status promises that the request did not run, but it may have run.
  UnconfirmedNotRun,
};

/// Judges the head of a response to \a Request, whose headers are as sent.
ResponseFault checkResponse(const HeaderNames &Names,
                            const HttpHeaders &Request,
                            const HttpResponseHead &Response);

/// Whether callers take the status as a promise that the request did not run.
bool impliesNotRun(int Status);

} // namespace amaranthward

#endif
