#ifndef AMARANTHWARD_AMARANTHCTL_HTTPSENDER_H
#define AMARANTHWARD_AMARANTHCTL_HTTPSENDER_H

#include "libnet/httpclient.h"
#include <memory>
#include <string>

namespace amaranthward {

/// Sends one request at a time and waits for its response.
class HttpSender {
public:
  static Result<HttpSender> create();

  /// Fails with Timeout when the response is not complete in time.
  Result<HttpResponse> send(const Endpoint &At, const HttpRequestHead &Head,
                            const std::string &Body);

  static constexpr std::size_t MaxResponseBytes = 256UL * 1024 * 1024;
  /// Leaves room for a long poll.
  static constexpr Duration Timeout = std::chrono::seconds(10);

private:
  HttpSender(std::unique_ptr<EventLoop> Loop,
             std::unique_ptr<HttpClient> Client)
      : Loop(std::move(Loop)), Client(std::move(Client)) {}

  std::unique_ptr<EventLoop> Loop;
  std::unique_ptr<HttpClient> Client;
};

} // namespace amaranthward

#endif
