#ifndef AMARANTHWARD_LIBNET_SERVERCONNECTION_H
#define AMARANTHWARD_LIBNET_SERVERCONNECTION_H

#include "libnet/bodydecoder.h"
#include "libnet/httpserver.h"
#include "libnet/messagehead.h"
#include "libnet/streamconnection.h"
#include <deque>

namespace amaranthward {

/// One request of a connection and what is known of its response.
struct PendingResponse {
  std::uint64_t Sequence = 0;
  std::shared_ptr<ServerExchange::Hooks> Callbacks;
  /// Bytes that wait until the responses before this one are sent.
  std::string Out;
  bool ExpectsContinue = false;
  bool HeadRequest = false;
  bool CloseAfter = false;
  bool HeadSent = false;
  bool NoBody = false;
  bool Finished = false;
  /// The connection ends where this response should begin or go on.
  bool Broken = false;
  /// Body bytes still to be sent; none for a chunked response.
  std::optional<std::uint64_t> LeftToSend;
};

/// One connection of a server. A request that must not be repeated is started
/// when the responses before it are sent; GET and HEAD requests without a body
/// that follow each other are served at the same time. Responses go out in the
/// order of their requests.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  struct Owner {
    HttpServer::Handler OnRequest;
    /// The connection is closed and can be forgotten.
    std::function<void(ServerConnection *)> OnGone;
    /// Responses carry "Connection: close" while this returns true.
    std::function<bool()> Draining;
  };

  static std::shared_ptr<ServerConnection>
  create(EventLoop &Loop, const Poco::Net::StreamSocket &Socket, Endpoint Peer,
         const HttpServerLimits &Limits, std::shared_ptr<const Owner> Server);

  /// Closes the connection when its current phase took too long.
  void enforceTimeouts(Instant Now);
  /// True while no request is under way.
  bool idle() const;
  void close();
  std::uint64_t bytesIn() const { return this->Stream->bytesIn(); }
  std::uint64_t bytesOut() const { return this->Stream->bytesOut(); }

  // For the exchange of the request with this sequence number.
  bool current(std::uint64_t Which);
  const Endpoint &peer() const { return this->Peer; }
  bool peerLeft() { return this->Stream->peerClosed(); }
  void setHooks(std::uint64_t Which, ServerExchange::Hooks NewHooks);
  void pauseBody(std::uint64_t Which, bool Paused);
  void sendInterim(std::uint64_t Which, int Status);
  void sendHead(std::uint64_t Which, const HttpResponseHead &Head);
  bool sendBody(std::uint64_t Which, std::string_view Data);
  void finish(std::uint64_t Which);
  void abort(std::uint64_t Which);

  /// Requests of one connection that are served at the same time.
  static constexpr std::size_t MostAtOnce = 16;

private:
  /// What is read next; nothing in the last three.
  enum class State { Head, Body, Stopped, Closing, Closed };

  ServerConnection(EventLoop &Loop, Endpoint Peer,
                   const HttpServerLimits &Limits,
                   std::shared_ptr<const Owner> Server);
  void onData(std::string_view Data);
  void onClosed();
  void onDrained();
  void pump();
  bool pumpHead();
  bool pumpBody();
  bool mayStart(const HttpRequestHead &Head) const;
  void startRequest(HttpRequestHead Head);
  void refuse(int Status, const std::string &Message);
  /// Discards the rest of the request body; false when it has not arrived.
  bool skipReceivedBody();
  PendingResponse *find(std::uint64_t Which);
  /// The request whose body is being read.
  PendingResponse &last() { return this->Requests.back(); }
  bool isLast(const PendingResponse &One) const {
    return &One == &this->Requests.back();
  }
  bool write(PendingResponse &One, std::string_view Data);
  void sendContinue(PendingResponse &One);
  void endResponse(PendingResponse &One);
  /// Sends the responses whose turn has come.
  void advance();
  void startClosing();
  /// Ends all requests that are under way, as the peer has gone.
  void abortAll();
  void updateReads();
  std::string_view unread() const;

  EventLoop &Loop;
  Endpoint Peer;
  HttpServerLimits Limits;
  std::shared_ptr<const Owner> Server;
  std::shared_ptr<StreamConnection> Stream;
  std::string In;
  std::size_t Used = 0;
  HeadScanner Scanner;
  BodyDecoder Decoder;
  State Phase = State::Head;
  Instant PhaseStart;
  std::uint64_t Sequence = 0;
  /// Requests without a complete response, in their order.
  std::deque<PendingResponse> Requests;
  /// A request that must wait for the responses before it.
  std::optional<HttpRequestHead> Held;
  bool Pumping = false;
  bool BodyPaused = false;
};

} // namespace amaranthward

#endif
