#include "libnet/httpserver.h"
#include "libcore/log.h"
#include "libnet/serverconnection.h"
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <algorithm>
#include <unordered_map>

namespace amaranthward {

namespace {

constexpr int Backlog = 1024;
/// Pause after a failed accept, usually for lack of descriptors.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);
/// A draining server keeps an idle connection for this time, because a
/// request may be on its way.
constexpr Duration DrainIdle = std::chrono::milliseconds(500);

class Server final : public HttpServer {
public:
  Server(EventLoop &Loop, HttpServerLimits Limits, Handler OnRequest)
      : Loop(Loop), Limits(Limits), Log(logFor("net")) {
    auto Made = std::make_shared<ServerConnection::Owner>();
    Made->OnRequest = std::move(OnRequest);
    Made->OnGone = [this](ServerConnection *Gone) { this->forget(Gone); };
    Made->Draining = [this] { return this->Draining; };
    this->Shared = std::move(Made);
  }

  ~Server() override {
    this->stopAccepting();
    this->Loop.cancel(this->Sweep);
    this->Loop.cancel(this->AcceptTimer);
    auto Open = this->snapshot();
    for (const auto &Each : Open)
      Each->close();
  }

  void start(const Poco::Net::SocketAddress &Address) {
    this->Listener.bind(Address, true, false);
    this->Listener.listen(Backlog);
    this->Listener.setBlocking(false);
    this->Bound = Endpoint(this->Listener.address().toString());
    this->Loop.add(this->Listener, {[this] { this->accept(); }, {}, {}});
    this->Accepting = true;
    Duration Shortest =
        std::min(this->Limits.HeaderTimeout, this->Limits.IdleTimeout) / 4;
    this->Sweep = this->Loop.every(
        std::clamp<Duration>(Shortest, std::chrono::milliseconds(10),
                             std::chrono::milliseconds(250)),
        [this] { this->sweep(); });
  }

  Endpoint address() const override { return this->Bound; }

  void drain() override {
    this->stopAccepting();
    this->Draining = true;
    this->DrainStart = this->Loop.now();
  }

  std::size_t connections() const override { return this->Open.size(); }

  std::uint64_t bytesIn() const override {
    std::uint64_t Sum = this->PastIn;
    for (const auto &[Key, Each] : this->Open)
      Sum += Each->bytesIn();
    return Sum;
  }

  std::uint64_t bytesOut() const override {
    std::uint64_t Sum = this->PastOut;
    for (const auto &[Key, Each] : this->Open)
      Sum += Each->bytesOut();
    return Sum;
  }

private:
  void accept() {
    try {
      Poco::Net::SocketAddress Peer;
      Poco::Net::StreamSocket Socket = this->Listener.acceptConnection(Peer);
      if (this->Open.size() >= this->Limits.MaxConnections)
        return;
      auto Made = ServerConnection::create(this->Loop, Socket,
                                           Endpoint(Peer.toString()),
                                           this->Limits, this->Shared);
      this->Open.emplace(Made.get(), Made);
    } catch (const Poco::Exception &Thrown) {
      this->Log->warn("Accepting on {} failed: {}.", this->Bound.str(),
                      Thrown.displayText());
      this->Loop.watchReads(this->Listener, false);
      this->AcceptTimer = this->Loop.after(AcceptPause, [this] {
        if (this->Accepting)
          this->Loop.watchReads(this->Listener, true);
      });
    }
  }

  void forget(ServerConnection *Gone) {
    auto Found = this->Open.find(Gone);
    if (Found == this->Open.end())
      return;
    this->PastIn += Gone->bytesIn();
    this->PastOut += Gone->bytesOut();
    this->Open.erase(Found);
  }

  void sweep() {
    Instant Now = this->Loop.now();
    bool CloseIdle = this->Draining && Now - this->DrainStart > DrainIdle;
    for (const auto &Each : this->snapshot()) {
      if (CloseIdle && Each->idle())
        Each->close();
      else
        Each->enforceTimeouts(Now);
    }
  }

  std::vector<std::shared_ptr<ServerConnection>> snapshot() const {
    std::vector<std::shared_ptr<ServerConnection>> All;
    All.reserve(this->Open.size());
    for (const auto &[Key, Each] : this->Open)
      All.push_back(Each);
    return All;
  }

  void stopAccepting() {
    if (!this->Accepting)
      return;
    this->Accepting = false;
    this->Loop.remove(this->Listener);
    this->Listener.close();
  }

  EventLoop &Loop;
  HttpServerLimits Limits;
  std::shared_ptr<spdlog::logger> Log;
  std::shared_ptr<const ServerConnection::Owner> Shared;
  Poco::Net::ServerSocket Listener;
  Endpoint Bound;
  std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>>
      Open;
  EventLoop::TimerId Sweep = 0;
  EventLoop::TimerId AcceptTimer = 0;
  Instant DrainStart;
  std::uint64_t PastIn = 0;
  std::uint64_t PastOut = 0;
  bool Accepting = false;
  bool Draining = false;
};

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &Loop,
                                                       const Endpoint &Address,
                                                       HttpServerLimits Limits,
                                                       Handler OnRequest) {
  try {
    Poco::Net::SocketAddress Parsed(Address.str());
    auto Made = std::make_unique<Server>(Loop, Limits, std::move(OnRequest));
    Made->start(Parsed);
    return Made;
  } catch (const Poco::Exception &Thrown) {
    return fail(ErrorCode::Io, "cannot listen on " + Address.str() + ": " +
                                   Thrown.displayText());
  }
}

void readBody(const std::shared_ptr<ServerExchange> &Exchange,
              std::size_t MaxBytes,
              std::function<void(std::shared_ptr<ServerExchange>, std::string)>
                  OnComplete) {
  if (Exchange->request().BodyLength.value_or(0) > MaxBytes) {
    respond(*Exchange, 413, "text/plain", "the body is too large\n");
    return;
  }
  auto Body = std::make_shared<std::string>();
  ServerExchange::Hooks Hooks;
  // The connection drops the hooks at the end of the exchange, which also
  // releases the exchange.
  Hooks.OnBody = [Exchange, Body, MaxBytes](std::string_view Data) {
    if (Body->size() + Data.size() > MaxBytes)
      respond(*Exchange, 413, "text/plain", "the body is too large\n");
    else
      Body->append(Data);
  };
  Hooks.OnBodyEnd = [Exchange, Body, OnComplete = std::move(OnComplete)] {
    OnComplete(Exchange, std::move(*Body));
  };
  Exchange->setHooks(std::move(Hooks));
}

void respond(ServerExchange &Exchange, int Status, std::string_view MediaType,
             std::string_view Body, HttpHeaders Extra) {
  HttpResponseHead Head;
  Head.Status = Status;
  Head.Headers = std::move(Extra);
  if (!Body.empty())
    Head.Headers.set("Content-Type", std::string(MediaType));
  Head.BodyLength = Body.size();
  Exchange.sendHead(Head);
  Exchange.sendBody(Body);
  Exchange.finish();
}

void respondJson(ServerExchange &Exchange, int Status, const Json &Body,
                 HttpHeaders Extra) {
  respond(Exchange, Status, "application/json", dumpJson(Body),
          std::move(Extra));
}

} // namespace amaranthward
