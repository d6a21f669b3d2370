#ifndef AMARANTHWARD_LIBNET_CLIENTCONNECTION_H
#define AMARANTHWARD_LIBNET_CLIENTCONNECTION_H

#include "libnet/bodydecoder.h"
#include "libnet/httpclient.h"
#include "libnet/messagehead.h"
#include "libnet/streamconnection.h"

namespace amaranthward {

/// One connection of a client and the request under way on it, if any.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  struct Owner {
    /// The request is complete in both directions and the connection can
    /// carry another one.
    std::function<void(std::shared_ptr<ClientConnection>)> OnIdle;
    std::function<void(ClientConnection *)> OnGone;
  };

  static Result<std::shared_ptr<ClientConnection>>
  connect(EventLoop &Loop, const Endpoint &Address,
          const Poco::Net::SocketAddress &Parsed,
          const HttpClientLimits &Limits, std::shared_ptr<const Owner> Client);
  ~ClientConnection();

  /// Starts a request on an idle connection.
  std::shared_ptr<ClientExchange> start(const HttpRequestHead &Head,
                                        ClientExchange::Hooks NewHooks);
  /// False when the peer closed the idle connection or sent unasked bytes.
  bool usable();
  void close();
  const Endpoint &address() const { return this->Address; }
  std::uint64_t bytesIn() const { return this->Stream->bytesIn(); }
  std::uint64_t bytesOut() const { return this->Stream->bytesOut(); }

  // For the exchange of the request with this sequence number.
  bool current(std::uint64_t Which) const;
  bool requestBytesSent() const;
  bool sendBody(std::string_view Data);
  void finishBody();
  void pauseBody(bool Paused);

private:
  enum class State { Idle, Head, Body, Closed };

  ClientConnection(EventLoop &Loop, Endpoint Address,
                   const HttpClientLimits &Limits,
                   std::shared_ptr<const Owner> Client);
  StreamConnection::Hooks streamHooks();
  void onConnected();
  void onData(std::string_view Data);
  void onDrained();
  void onClosed(ConnectionEnd How, const std::string &Reason);
  void pump();
  bool pumpHead();
  bool pumpBody();
  void complete();
  void failWith(ErrorCode Code, const std::string &Message);
  void updateReads();

  EventLoop &Loop;
  Endpoint Address;
  HttpClientLimits Limits;
  std::shared_ptr<const Owner> Client;
  std::shared_ptr<StreamConnection> Stream;
  EventLoop::TimerId ConnectTimer = 0;
  std::string In;
  std::size_t Used = 0;
  HeadScanner Scanner;
  BodyDecoder Decoder;
  State Phase = State::Idle;
  std::uint64_t Sequence = 0;
  std::uint64_t BytesOutAtStart = 0;
  std::shared_ptr<ClientExchange::Hooks> Callbacks;
  bool Pumping = false;
  bool BodyPaused = false;
  bool HeadRequest = false;
  bool CloseAfter = false;
  /// The response body ends with the connection.
  bool UntilEnd = false;
  /// The peer has closed in order; what it sent may not be delivered yet.
  bool PeerEnded = false;
  bool RequestDone = false;
  bool ChunkedRequest = false;
  std::uint64_t LeftToSend = 0;
  /// Bytes of interim responses to the current request.
  std::size_t InterimBytes = 0;
};

} // namespace amaranthward

#endif
