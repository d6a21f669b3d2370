#include "libnet/httpclient.h"
#include "libnet/clientconnection.h"
#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <unordered_map>

namespace amaranthward {

namespace {

/// Stands for a request that could not be started.
class FailedExchange final : public ClientExchange {
public:
  bool sendBody(std::string_view) override { return true; }
  void finishBody() override {}
  void pauseBody() override {}
  void resumeBody() override {}
  void cancel() override { this->Cancelled = true; }
  bool bytesSent() const override { return false; }

  bool Cancelled = false;
};

/// Only numeric addresses, because resolving a name would block the loop.
Result<Poco::Net::SocketAddress> parseAddress(const Endpoint &Address) {
  std::size_t Colon = Address.str().rfind(':');
  Poco::Net::IPAddress Host;
  if (Colon == std::string::npos)
    return fail(ErrorCode::InvalidArgument,
                "\"" + Address.str() + "\" is not ADDRESS:PORT");
  std::string Text = Address.str().substr(0, Colon);
  if (Text.size() > 2 && Text.front() == '[' && Text.back() == ']')
    Text = Text.substr(1, Text.size() - 2);
  try {
    if (!Poco::Net::IPAddress::tryParse(Text, Host))
      return fail(ErrorCode::InvalidArgument,
                  "\"" + Text + "\" is not a numeric address");
    return Poco::Net::SocketAddress(Address.str());
  } catch (const Poco::Exception &Thrown) {
    return fail(ErrorCode::InvalidArgument, Thrown.displayText());
  }
}

struct IdleConnection {
  std::shared_ptr<ClientConnection> Connection;
  Instant Since;
};

class Client final : public HttpClient {
public:
  Client(EventLoop &Loop, HttpClientLimits Limits)
      : Loop(Loop), Limits(Limits) {
    auto Made = std::make_shared<ClientConnection::Owner>();
    Made->OnIdle = [this](std::shared_ptr<ClientConnection> Connection) {
      this->keep(std::move(Connection));
    };
    Made->OnGone = [this](ClientConnection *Gone) { this->forget(Gone); };
    this->Shared = std::move(Made);
    Duration Step = std::clamp<Duration>(Limits.IdleTimeout / 4,
                                         std::chrono::milliseconds(10),
                                         std::chrono::seconds(1));
    this->Sweep = Loop.every(Step, [this] { this->closeIdle(); });
  }

  ~Client() override {
    this->Loop.cancel(this->Sweep);
    std::vector<std::shared_ptr<ClientConnection>> All;
    for (const auto &[Key, Each] : this->Open)
      All.push_back(Each);
    for (const auto &Each : All)
      Each->close();
  }

  std::shared_ptr<ClientExchange> send(const Endpoint &Address,
                                       const HttpRequestHead &Head,
                                       ClientExchange::Hooks Hooks,
                                       bool FreshConnection) override {
    std::shared_ptr<ClientConnection> Connection;
    if (!FreshConnection)
      Connection = this->takeIdle(Address);
    if (!Connection) {
      auto Made = this->open(Address);
      if (!Made)
        return this->failLater(Made.error(), std::move(Hooks));
      Connection = *Made;
    }
    return Connection->start(Head, std::move(Hooks));
  }

  void call(const Endpoint &Address, const HttpRequestHead &Head,
            std::string Body, Duration Timeout, std::size_t MaxBytes,
            std::function<void(Result<HttpResponse>)> OnDone,
            std::function<void()> OnProgress) override;

  std::size_t openConnections(const Endpoint &Address) const override {
    return static_cast<std::size_t>(std::count_if(
        this->Open.begin(), this->Open.end(), [&Address](const auto &Each) {
          return Each.second->address() == Address;
        }));
  }

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
  Result<std::shared_ptr<ClientConnection>> open(const Endpoint &Address) {
    auto Parsed = parseAddress(Address);
    if (!Parsed)
      return tl::make_unexpected(Parsed.error());
    auto Made = ClientConnection::connect(this->Loop, Address, *Parsed,
                                          this->Limits, this->Shared);
    if (Made)
      this->Open.emplace(Made->get(), *Made);
    return Made;
  }

  std::shared_ptr<ClientConnection> takeIdle(const Endpoint &Address) {
    // Closing a connection changes the table, so each round looks again.
    while (true) {
      auto Found = this->Idle.find(Address);
      if (Found == this->Idle.end() || Found->second.empty())
        return nullptr;
      auto Last = std::move(Found->second.back().Connection);
      Found->second.pop_back();
      if (Last->usable())
        return Last;
      Last->close();
    }
  }

  void keep(std::shared_ptr<ClientConnection> Connection) {
    auto &Kept = this->Idle[Connection->address()];
    if (Kept.size() >= this->Limits.MaxIdlePerAddress)
      Connection->close();
    else
      Kept.push_back({Connection, this->Loop.now()});
  }

  void forget(ClientConnection *Gone) {
    auto Found = this->Open.find(Gone);
    if (Found == this->Open.end())
      return;
    this->PastIn += Gone->bytesIn();
    this->PastOut += Gone->bytesOut();
    if (auto Kept = this->Idle.find(Gone->address());
        Kept != this->Idle.end()) {
      std::erase_if(Kept->second, [Gone](const IdleConnection &Each) {
        return Each.Connection.get() == Gone;
      });
      if (Kept->second.empty())
        this->Idle.erase(Kept);
    }
    this->Open.erase(Found);
  }

  void closeIdle() {
    Instant Oldest = this->Loop.now() - this->Limits.IdleTimeout;
    std::vector<std::shared_ptr<ClientConnection>> Old;
    for (const auto &[Address, Kept] : this->Idle)
      for (const IdleConnection &Each : Kept)
        if (Each.Since < Oldest)
          Old.push_back(Each.Connection);
    for (const auto &Each : Old)
      Each->close();
  }

  std::shared_ptr<ClientExchange> failLater(Error Cause,
                                            ClientExchange::Hooks Hooks) {
    auto Made = std::make_shared<FailedExchange>();
    this->Loop.post([Made, Cause = std::move(Cause), Hooks = std::move(Hooks)] {
      if (!Made->Cancelled && Hooks.OnFailure)
        Hooks.OnFailure({Cause, false});
    });
    return Made;
  }

  EventLoop &Loop;
  HttpClientLimits Limits;
  std::shared_ptr<const ClientConnection::Owner> Shared;
  std::unordered_map<ClientConnection *, std::shared_ptr<ClientConnection>>
      Open;
  std::unordered_map<Endpoint, std::vector<IdleConnection>> Idle;
  EventLoop::TimerId Sweep = 0;
  std::uint64_t PastIn = 0;
  std::uint64_t PastOut = 0;
};

/// A request whose whole response is collected.
struct Collected {
  HttpResponse Response;
  std::shared_ptr<ClientExchange> Exchange;
  EventLoop::TimerId Timer = 0;
  std::function<void(Result<HttpResponse>)> OnDone;

  /// Ends the request once; \a Outcome is delivered to the caller.
  void end(EventLoop &Loop, Result<HttpResponse> Outcome) {
    if (!this->OnDone)
      return;
    Loop.cancel(this->Timer);
    auto Done = std::move(this->OnDone);
    this->OnDone = nullptr;
    if (auto Kept = std::move(this->Exchange))
      Kept->cancel();
    Done(std::move(Outcome));
  }
};

void Client::call(const Endpoint &Address, const HttpRequestHead &Head,
                  std::string Body, Duration Timeout, std::size_t MaxBytes,
                  std::function<void(Result<HttpResponse>)> OnDone,
                  std::function<void()> OnProgress) {
  auto State = std::make_shared<Collected>();
  State->OnDone = std::move(OnDone);
  EventLoop &Loop = this->Loop;
  ClientExchange::Hooks Hooks;
  Hooks.OnHead = [State](const HttpResponseHead &Received) {
    State->Response.Head = Received;
  };
  Hooks.OnBody = [State, MaxBytes, &Loop, OnProgress](std::string_view Data) {
    if (OnProgress)
      OnProgress();
    if (State->Response.Body.size() + Data.size() > MaxBytes)
      State->end(Loop, fail(ErrorCode::Exhausted, "the response is too large"));
    else
      State->Response.Body.append(Data);
  };
  Hooks.OnEnd = [State, &Loop] {
    State->end(Loop, std::move(State->Response));
  };
  Hooks.OnFailure = [State, &Loop](const ClientFailure &Failure) {
    State->end(Loop, tl::make_unexpected(Failure.Cause));
  };
  State->Timer = Loop.after(Timeout, [State, &Loop] {
    State->end(Loop, fail(ErrorCode::Timeout, "no response in time"));
  });
  HttpRequestHead Sized = Head;
  Sized.BodyLength = Body.size();
  State->Exchange = this->send(Address, Sized, std::move(Hooks), false);
  State->Exchange->sendBody(Body);
}

} // namespace

Result<std::unique_ptr<HttpClient>>
HttpClient::create(EventLoop &Loop, HttpClientLimits Limits) {
  if (Limits.MaxHeaderBytes == 0)
    return fail(ErrorCode::InvalidArgument, "MaxHeaderBytes must not be 0");
  return std::make_unique<Client>(Loop, Limits);
}

} // namespace amaranthward
