#ifndef AMARANTHWARD_TESTS_LIBNET_NETFIXTURE_H
#define AMARANTHWARD_TESTS_LIBNET_NETFIXTURE_H

#include "libnet/httpclient.h"
#include "libnet/httpserver.h"
#include "libnet/streamconnection.h"
#include <doctest/doctest.h>

namespace amaranthward {

/// One event loop with a server on a loopback port and a client.
struct NetFixture {
  std::unique_ptr<EventLoop> Loop = std::move(*EventLoop::create());
  std::unique_ptr<HttpClient> Client =
      std::move(*HttpClient::create(*this->Loop, {}));
  std::unique_ptr<HttpServer> Server;

  void serve(HttpServer::Handler Handler, HttpServerLimits Limits = {}) {
    auto Made = HttpServer::create(*this->Loop, Endpoint("127.0.0.1:0"), Limits,
                                   std::move(Handler));
    REQUIRE(Made);
    this->Server = std::move(*Made);
  }

  /// Runs the loop until \a Condition holds; false after \a Timeout.
  bool runUntil(std::function<bool()> Condition,
                Duration Timeout = std::chrono::seconds(10)) {
    Instant End = this->Loop->now() + Timeout;
    bool Held = false;
    auto Timer = this->Loop->every(std::chrono::milliseconds(1), [&] {
      Held = Condition();
      if (Held || this->Loop->now() > End)
        this->Loop->stop();
    });
    this->Loop->run();
    this->Loop->cancel(Timer);
    return Held;
  }

  /// Sends \a Pieces one after another on a connection of its own and returns
  /// all that the server sends until it closes or \a Enough holds.
  std::string
  exchangeRaw(const std::vector<std::string> &Pieces,
              std::function<bool(const std::string &)> Enough = nullptr) {
    std::string Received;
    bool Closed = false;
    StreamConnection::Hooks Hooks;
    Hooks.OnData = [&](std::string_view Data) { Received.append(Data); };
    Hooks.OnClosed = [&](ConnectionEnd, const std::string &) { Closed = true; };
    auto Stream = StreamConnection::connect(
        *this->Loop, Poco::Net::SocketAddress(this->Server->address().str()),
        Hooks);
    REQUIRE(Stream);
    for (const std::string &Piece : Pieces) {
      (*Stream)->write(Piece);
      // Each piece leaves alone, so the server reads it as a separate event.
      if (Pieces.size() > 1)
        this->runUntil([&] { return (*Stream)->pending() == 0 || Closed; });
    }
    this->runUntil([&] { return Closed || (Enough && Enough(Received)); });
    (*Stream)->close();
    return Received;
  }
};

} // namespace amaranthward

#endif
