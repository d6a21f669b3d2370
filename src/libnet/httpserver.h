#ifndef AMARANTHWARD_LIBNET_HTTPSERVER_H
#define AMARANTHWARD_LIBNET_HTTPSERVER_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libnet/eventloop.h"
#include "libnet/httpmessage.h"
#include <string_view>

namespace amaranthward {

/// One request that a server received, and the way to answer it.
///
/// The handler keeps the shared pointer for as long as it needs the exchange.
/// After \a OnAborted no other hook is called and sending does nothing.
class ServerExchange {
public:
  struct Hooks {
    std::function<void(std::string_view)> OnBody;
    std::function<void()> OnBodyEnd;
    /// The peer closed the connection or broke the protocol.
    std::function<void()> OnAborted;
    /// The send buffer fell below its low-water mark.
    std::function<void()> OnDrained;
  };

  virtual ~ServerExchange() = default;

  virtual const HttpRequestHead &request() const = 0;
  virtual const Endpoint &peer() const = 0;
  /// Whether the peer has closed the connection. Asks the system, so it is true
  /// before \a OnAborted when the loop has other events to handle first.
  virtual bool peerLeft() = 0;
  /// Starts delivery of the body. Body bytes wait in a bounded buffer before.
  virtual void setHooks(Hooks NewHooks) = 0;
  /// Stops and restarts reading from the peer (back-pressure). A peer that
  /// waits for "100 Continue" gets it once there are hooks and reading is not
  /// stopped.
  virtual void pauseBody() = 0;
  virtual void resumeBody() = 0;

  /// Sends an interim (1xx) response.
  virtual void sendInterim(int Status) = 0;
  virtual void sendHead(const HttpResponseHead &Head) = 0;
  /// Returns false when the send buffer is above its high-water mark; the
  /// caller then waits for \a OnDrained. The bytes are accepted in any case.
  virtual bool sendBody(std::string_view Data) = 0;
  virtual void finish() = 0;
  /// Closes the connection without completing the response.
  virtual void abort() = 0;
};

struct HttpServerLimits {
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxConnections = 1024;
  Duration HeaderTimeout = std::chrono::seconds(10);
  /// Without a request, and without a byte of a body that is being read.
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// Serves HTTP/1.1 on one address. Malformed requests are answered with 4xx
/// and never reach the handler.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /// Fails with Io when the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> create(EventLoop &Loop,
                                                    const Endpoint &Address,
                                                    HttpServerLimits Limits,
                                                    Handler OnRequest);
  virtual ~HttpServer() = default;

  /// The bound address; differs from the requested one for port 0.
  virtual Endpoint address() const = 0;
  /// Accepts no further connections; open ones finish their request and are
  /// then closed.
  virtual void drain() = 0;
  virtual std::size_t connections() const = 0;
  /// Bytes received and sent over all connections since the start.
  virtual std::uint64_t bytesIn() const = 0;
  virtual std::uint64_t bytesOut() const = 0;
};

/// Collects a whole body of at most \a MaxBytes and calls \a OnComplete; a
/// larger body is answered 413.
void readBody(const std::shared_ptr<ServerExchange> &Exchange,
              std::size_t MaxBytes,
              std::function<void(std::shared_ptr<ServerExchange>, std::string)>
                  OnComplete);

/// Sends a whole response.
void respond(ServerExchange &Exchange, int Status, std::string_view MediaType,
             std::string_view Body, HttpHeaders Extra = {});
void respondJson(ServerExchange &Exchange, int Status, const Json &Body,
                 HttpHeaders Extra = {});

} // namespace amaranthward

#endif
