#include "amaranthctl/httpsender.h"

namespace amaranthward {

Result<HttpSender> HttpSender::create() {
  auto Loop = EventLoop::create();
  if (!Loop)
    return tl::make_unexpected(Loop.error());
  auto Client = HttpClient::create(**Loop, {});
  if (!Client)
    return tl::make_unexpected(Client.error());
  return HttpSender(std::move(*Loop), std::move(*Client));
}

Result<HttpResponse> HttpSender::send(const Endpoint &At,
                                      const HttpRequestHead &Head,
                                      const std::string &Body) {
  std::optional<Result<HttpResponse>> Answer;
  this->Client->call(At, Head, Body, Timeout, MaxResponseBytes,
                     [this, &Answer](Result<HttpResponse> Response) {
                       Answer = std::move(Response);
                       this->Loop->stop();
                     });
  if (!Answer)
    this->Loop->run();
  if (!Answer)
    return fail(ErrorCode::Io, "the event loop ended early");
  return std::move(*Answer);
}

} // namespace amaranthward
