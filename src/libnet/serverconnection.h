#ifndef AMARANTHWARD_LIBNET_SERVERCONNECTION_H
#define AMARANTHWARD_LIBNET_SERVERCONNECTION_H

#include "libnet/bodydecoder.h"
#include "libnet/httpserver.h"
#include "libnet/messagehead.h"
#include "libnet/streamconnection.h"

namespace amaranthward {

/// One connection of a server: requests one after another, each with its
/// response before the next is read.
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
  bool current(std::uint64_t Which) const;
  const Endpoint &peer() const { return this->Peer; }
  void setHooks(ServerExchange::Hooks NewHooks);
  void pauseBody(bool Paused);
  void sendInterim(int Status);
  void sendHead(const HttpResponseHead &Head);
  bool sendBody(std::string_view Data);
  void finish();
  void abort();

private:
  enum class State { Head, Body, Response, Closing, Closed };

  ServerConnection(EventLoop &Loop, Endpoint Peer,
                   const HttpServerLimits &Limits,
                   std::shared_ptr<const Owner> Server);
  void onData(std::string_view Data);
  void onClosed();
  void onDrained();
  void pump();
  bool pumpHead();
  bool pumpBody();
  void startRequest(HttpRequestHead Head);
  void refuse(int Status, const std::string &Message);
  /// Discards the rest of the request body; false when it has not arrived.
  bool skipReceivedBody();
  void endResponse();
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
  std::shared_ptr<ServerExchange::Hooks> Callbacks;
  bool Pumping = false;
  bool BodyPaused = false;
  bool ExpectsContinue = false;
  bool HeadRequest = false;
  bool CloseAfter = false;
  bool HeadSent = false;
  bool NoBody = false;
  /// Body bytes still to be sent; none for a chunked response.
  std::optional<std::uint64_t> LeftToSend;
};

} // namespace amaranthward

#endif
