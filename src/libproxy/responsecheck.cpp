#include "libproxy/responsecheck.h"

namespace amaranthward {

namespace {

constexpr int Misdirected = 421;

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
  bool Stated =
      !Names.NotExecuted.empty() && Response.Headers.has(Names.NotExecuted);
  bool Expects =
      !Names.ExpectedInstance.empty() && Request.has(Names.ExpectedInstance);
  bool Other = Expects && Response.Status == Misdirected;
  // A refusal may come without the id; it then cannot belong to an earlier
  // request, whose refusal would have been read already.
  if (isMismatched(Names.RequestId, Request, Response, !Stated && !Other))
    return ResponseFault::Foreign;
  if (Other)
    return ResponseFault::OtherInstance;
  if (Stated)
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
