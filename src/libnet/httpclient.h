#ifndef AMARANTHWARD_LIBNET_HTTPCLIENT_H
#define AMARANTHWARD_LIBNET_HTTPCLIENT_H

#include "libcore/ids.h"
#include "libnet/eventloop.h"
#include "libnet/httpmessage.h"
#include <string_view>

namespace amaranthward {

/// Why a client request failed, and whether the peer can have seen it.
struct ClientFailure {
  Error Cause;
  /// False only when no byte of the request was handed to the socket.
  bool BytesSent = false;
};

/// One request under way to a server.
class ClientExchange {
public:
  struct Hooks {
    /// Interim (1xx) response.
    std::function<void(int Status)> OnInterim;
    std::function<void(const HttpResponseHead &)> OnHead;
    std::function<void(std::string_view)> OnBody;
    /// The response is complete to the last byte.
    std::function<void()> OnEnd;
    /// Called at most once, and never after \a OnEnd.
    std::function<void(const ClientFailure &)> OnFailure;
    std::function<void()> OnDrained;
  };

  virtual ~ClientExchange() = default;

  /// Returns false when the send buffer is above its high-water mark.
  virtual bool sendBody(std::string_view Data) = 0;
  virtual void finishBody() = 0;
  virtual void pauseBody() = 0;
  virtual void resumeBody() = 0;
  /// Closes the connection; no hook is called afterwards.
  virtual void cancel() = 0;
  virtual bool bytesSent() const = 0;
};

struct HttpClientLimits {
  /// Several round trips between regions (70 ms), and less than the second
  /// after which a lost opening packet is sent again. A request that finds no
  /// connection has not run and goes elsewhere.
  static constexpr Duration MeshConnectTimeout = std::chrono::milliseconds(250);

  /// For connections within the mesh.
  static HttpClientLimits withinMesh() {
    HttpClientLimits Limits;
    Limits.ConnectTimeout = MeshConnectTimeout;
    return Limits;
  }

  Duration ConnectTimeout = std::chrono::milliseconds(1000);
  /// Idle connections are closed after this time.
  Duration IdleTimeout = std::chrono::seconds(15);
  std::size_t MaxIdlePerAddress = 32;
  std::size_t MaxHeaderBytes = 16UL * 1024;
  /// Takes a body that has neither a length nor chunks as complete when the
  /// peer closes the connection in order. A peer that ends in the middle of
  /// such a body cannot be told from one that is done.
  bool BodyMayEndWithConnection = false;
};

struct HttpResponse {
  HttpResponseHead Head;
  std::string Body;
};

/// HTTP/1.1 client with pooled keep-alive connections, one request at a time
/// on each. A connection whose response was not read to the end is closed and
/// never reused. A request on a pooled connection that the server closed
/// before any response byte is not repeated by the client.
class HttpClient {
public:
  static Result<std::unique_ptr<HttpClient>> create(EventLoop &Loop,
                                                    HttpClientLimits Limits);
  virtual ~HttpClient() = default;

  /// Sends the head at once; the caller then sends the body and finishes it,
  /// or nothing more when \a BodyLength is 0.
  /// \param FreshConnection never takes a pooled connection.
  virtual std::shared_ptr<ClientExchange>
  send(const Endpoint &Address, const HttpRequestHead &Head,
       ClientExchange::Hooks Hooks, bool FreshConnection = false) = 0;

  /// Sends a whole request and collects a response of at most \a MaxBytes.
  /// Fails with Timeout when it is not complete within \a Timeout.
  /// \param OnProgress called whenever bytes of the body arrive.
  virtual void call(const Endpoint &Address, const HttpRequestHead &Head,
                    std::string Body, Duration Timeout, std::size_t MaxBytes,
                    std::function<void(Result<HttpResponse>)> OnDone,
                    std::function<void()> OnProgress = {}) = 0;

  virtual std::size_t openConnections(const Endpoint &Address) const = 0;
  virtual std::uint64_t bytesIn() const = 0;
  virtual std::uint64_t bytesOut() const = 0;
};

} // namespace amaranthward

#endif
