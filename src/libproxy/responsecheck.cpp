#include "libproxy/responsecheck.h"

namespace amaranthward {

namespace {

constexpr int Misdirected = 421;

/// Whether the header \a Name differs between request and response. A response
/// without it counts as different if \a Required.
bool isMismatched(const std::string &Name, const HttpHeaders &Request,
                  const HttpResponseHead &Response, bool Required) {
  if (Name.empty() || !Request.has(Name))
    return false;
  if (!Response.Headers.has(Name))
    return Required;
  return Response.Headers.get(Name) != Request.get(Name);
}

} // namespace

bool impliesNotRun(int Status) {
  return Status == 408 || Status == Misdirected || Status == 429 ||
         Status == 503;
}

ResponseFault checkResponse(const HeaderNames &Names,
                            const HttpHeaders &Request,
                            const HttpResponseHead &Response) {
  bool StatesNotExecuted =
      !Names.NotExecuted.empty() && Response.Headers.has(Names.NotExecuted);
  bool ExpectsInstance =
      !Names.ExpectedInstance.empty() && Request.has(Names.ExpectedInstance);
  bool OtherInstance = ExpectsInstance && Response.Status == Misdirected;
  // A refusal may lack the id. It still belongs to this request, because the
  // refusal of an earlier request would have been read before.
  if (isMismatched(Names.RequestId, Request, Response,
                   !StatesNotExecuted && !OtherInstance))
    return ResponseFault::WrongRequest;
  if (OtherInstance)
    return ResponseFault::OtherInstance;
  if (StatesNotExecuted)
    return ResponseFault::NotExecuted;
  if (!Names.NotExecuted.empty() && impliesNotRun(Response.Status))
    return ResponseFault::UnconfirmedNotRun;
  bool Success = Response.Status >= 200 && Response.Status < 300;
  if (Success && !Names.Signature.empty() &&
      (!Response.Headers.has(Names.Signature) ||
       Response.Headers.has("Content-Encoding")))
    return ResponseFault::Unsigned;
  return ResponseFault::None;
}

} // namespace amaranthward
