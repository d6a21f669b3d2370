#include "libnet/clientconnection.h"

namespace amaranthward {

namespace {

/// Unread response bytes beyond this stop reading while nobody takes them.
constexpr std::size_t MaxUnread = 16UL * 1024;
constexpr std::size_t KeptCapacity = 32UL * 1024;
/// Bound on the interim responses to one request. A gate sends about 25 bytes
/// every 200 ms while a request waits.
constexpr std::size_t MaxInterimBytes = 256UL * 1024;
constexpr std::string_view StatusLineStart = "HTTP/1.1 ";

bool mayBeginResponse(std::string_view Received) {
  return Received.starts_with(StatusLineStart.substr(0, Received.size()));
}

class Exchange final : public ClientExchange {
public:
  Exchange(std::shared_ptr<ClientConnection> Owner, std::uint64_t Sequence)
      : Owner(Owner), Sequence(Sequence) {}

  bool sendBody(std::string_view Data) override {
    auto Kept = this->connection();
    return !Kept || Kept->sendBody(Data);
  }
  void finishBody() override {
    if (auto Kept = this->connection())
      Kept->finishBody();
  }
  void pauseBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(true);
  }
  void resumeBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(false);
  }
  void cancel() override {
    if (auto Kept = this->connection())
      Kept->close();
  }
  bool bytesSent() const override {
    auto Kept = this->connection();
    return !Kept || Kept->requestBytesSent();
  }

private:
  std::shared_ptr<ClientConnection> connection() const {
    auto Kept = this->Owner.lock();
    return Kept && Kept->current(this->Sequence) ? Kept : nullptr;
  }

  std::weak_ptr<ClientConnection> Owner;
  std::uint64_t Sequence;
};

} // namespace

ClientConnection::ClientConnection(EventLoop &Loop, Endpoint Address,
                                   const HttpClientLimits &Limits,
                                   std::shared_ptr<const Owner> Client)
    : Loop(Loop), Address(std::move(Address)), Limits(Limits),
      Client(std::move(Client)) {}

ClientConnection::~ClientConnection() { this->Loop.cancel(this->ConnectTimer); }

Result<std::shared_ptr<ClientConnection>>
ClientConnection::connect(EventLoop &Loop, const Endpoint &Address,
                          const Poco::Net::SocketAddress &Parsed,
                          const HttpClientLimits &Limits,
                          std::shared_ptr<const Owner> Client) {
  std::shared_ptr<ClientConnection> Made(
      new ClientConnection(Loop, Address, Limits, std::move(Client)));
  auto Stream = StreamConnection::connect(Loop, Parsed, Made->streamHooks());
  if (!Stream)
    return tl::make_unexpected(Stream.error());
  Made->Stream = *Stream;
  std::weak_ptr<ClientConnection> Self = Made;
  Made->ConnectTimer = Loop.after(Limits.ConnectTimeout, [Self] {
    if (auto Kept = Self.lock())
      Kept->failWith(ErrorCode::Timeout, "connecting took too long");
  });
  return Made;
}

StreamConnection::Hooks ClientConnection::streamHooks() {
  std::weak_ptr<ClientConnection> Self = this->weak_from_this();
  StreamConnection::Hooks Hooks;
  Hooks.OnConnected = [Self] {
    if (auto Kept = Self.lock())
      Kept->onConnected();
  };
  Hooks.OnData = [Self](std::string_view Data) {
    if (auto Kept = Self.lock())
      Kept->onData(Data);
  };
  Hooks.OnClosed = [Self](ConnectionEnd How, const std::string &Reason) {
    if (auto Kept = Self.lock())
      Kept->onClosed(How, Reason);
  };
  Hooks.OnDrained = [Self] {
    if (auto Kept = Self.lock())
      Kept->onDrained();
  };
  return Hooks;
}

std::shared_ptr<ClientExchange>
ClientConnection::start(const HttpRequestHead &Head,
                        ClientExchange::Hooks NewHooks) {
  ++this->Sequence;
  this->Callbacks =
      std::make_shared<ClientExchange::Hooks>(std::move(NewHooks));
  this->Phase = State::Head;
  this->BytesOutAtStart = this->Stream->bytesOut();
  this->BodyPaused = false;
  this->InterimBytes = 0;
  this->HeadRequest = Head.Method == "HEAD";
  this->CloseAfter = connectionHas(Head.Headers, "close");
  this->ChunkedRequest = !Head.BodyLength;
  this->LeftToSend = Head.BodyLength.value_or(0);
  this->RequestDone = !this->ChunkedRequest && this->LeftToSend == 0;
  this->Stream->write(serializeRequestHead(Head, this->Address.str()));
  return std::make_shared<Exchange>(this->shared_from_this(), this->Sequence);
}

bool ClientConnection::usable() {
  return this->Phase == State::Idle && !this->Stream->peerActed();
}

void ClientConnection::close() {
  if (this->Phase == State::Closed)
    return;
  auto Self = this->shared_from_this();
  this->Phase = State::Closed;
  this->Callbacks.reset();
  this->Loop.cancel(this->ConnectTimer);
  this->Stream->close();
  this->Client->OnGone(this);
}

bool ClientConnection::current(std::uint64_t Which) const {
  return this->Sequence == Which &&
         (this->Phase == State::Head || this->Phase == State::Body);
}

bool ClientConnection::requestBytesSent() const {
  return this->Stream->bytesOut() > this->BytesOutAtStart;
}

bool ClientConnection::sendBody(std::string_view Data) {
  if (this->RequestDone || Data.empty())
    return true;
  if (!this->ChunkedRequest) {
    if (Data.size() > this->LeftToSend) {
      this->Loop.post([Self = this->shared_from_this()] {
        Self->failWith(ErrorCode::InvalidArgument,
                       "the request body is longer than announced");
      });
      return true;
    }
    this->LeftToSend -= Data.size();
    this->RequestDone = this->LeftToSend == 0;
    return this->Stream->write(Data);
  }
  std::string Prefix;
  appendChunkSize(Prefix, Data.size());
  this->Stream->write(Prefix);
  this->Stream->write(Data);
  return this->Stream->write("\r\n");
}

void ClientConnection::finishBody() {
  if (this->RequestDone)
    return;
  this->RequestDone = true;
  if (this->ChunkedRequest) {
    this->Stream->write(LastChunk);
    return;
  }
  this->Loop.post([Self = this->shared_from_this()] {
    Self->failWith(ErrorCode::InvalidArgument,
                   "the request body is shorter than announced");
  });
}

void ClientConnection::pauseBody(bool Paused) {
  this->BodyPaused = Paused;
  if (!Paused && !this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
  else
    this->updateReads();
}

void ClientConnection::onConnected() { this->Loop.cancel(this->ConnectTimer); }

void ClientConnection::onData(std::string_view Data) {
  if (this->Phase == State::Idle) {
    this->close();
    return;
  }
  this->In.append(Data);
  this->pump();
}

void ClientConnection::onClosed(ConnectionEnd How, const std::string &Reason) {
  if (How != ConnectionEnd::Ordered || this->Phase != State::Body ||
      !this->UntilEnd)
    return this->failWith(ErrorCode::Unavailable, Reason);
  this->PeerEnded = true;
  this->pump();
}

void ClientConnection::onDrained() {
  auto Kept = this->Callbacks;
  if (Kept && Kept->OnDrained)
    Kept->OnDrained();
}

void ClientConnection::pump() {
  if (this->Pumping)
    return;
  auto Self = this->shared_from_this();
  this->Pumping = true;
  bool Progress = true;
  while (Progress) {
    if (this->Phase == State::Head)
      Progress = this->pumpHead();
    else if (this->Phase == State::Body)
      Progress = this->pumpBody();
    else
      Progress = false;
  }
  this->Pumping = false;
  this->In.erase(0, this->Used);
  this->Used = 0;
  if (this->In.empty() && this->In.capacity() > KeptCapacity)
    std::string().swap(this->In);
  this->updateReads();
}

bool ClientConnection::pumpHead() {
  std::string_view Input = std::string_view(this->In).substr(this->Used);
  if (Input.empty())
    return false;
  if (!mayBeginResponse(Input)) {
    this->failWith(ErrorCode::Corrupt, "received bytes that are no response");
    return false;
  }
  HeadScanner::State Found = this->Scanner.scan(Input);
  std::size_t Length = this->Scanner.length();
  if (Found == HeadScanner::State::BareLineFeed ||
      Length > this->Limits.MaxHeaderBytes) {
    this->failWith(ErrorCode::Corrupt, "malformed response head");
    return false;
  }
  if (Found == HeadScanner::State::Partial)
    return false;
  auto Head = parseResponseHead(Input.substr(0, Length), this->HeadRequest);
  this->Scanner.reset();
  this->Used += Length;
  if (!Head || Head->Status == 101) {
    this->failWith(ErrorCode::Corrupt,
                   Head ? "unexpected 101 response" : Head.error().Message);
    return false;
  }
  auto Kept = this->Callbacks;
  if (Head->Status < 200) {
    this->InterimBytes += Length;
    if (this->InterimBytes > MaxInterimBytes) {
      this->failWith(ErrorCode::Corrupt, "too many interim responses");
      return false;
    }
    if (Kept->OnInterim)
      Kept->OnInterim(Head->Status);
    return true;
  }
  if (connectionHas(Head->Headers, "close"))
    this->CloseAfter = true;
  if (Head->EndsWithConnection && !this->Limits.BodyMayEndWithConnection) {
    this->failWith(ErrorCode::Corrupt, "response without a length");
    return false;
  }
  bool NoBody = bodyless(Head->Status, this->HeadRequest);
  this->UntilEnd = Head->EndsWithConnection;
  if (this->UntilEnd)
    this->Decoder.startUntilEnd();
  else
    this->Decoder.start(NoBody ? std::optional<std::uint64_t>(0)
                               : Head->BodyLength);
  this->Phase = State::Body;
  if (Kept->OnHead)
    Kept->OnHead(*Head);
  return true;
}

bool ClientConnection::pumpBody() {
  if (this->Decoder.done()) {
    this->complete();
    return false;
  }
  if (this->BodyPaused)
    return false;
  std::string_view Input = std::string_view(this->In).substr(this->Used);
  if (this->PeerEnded && Input.empty()) {
    this->Decoder.end();
    return true;
  }
  BodyDecoder::Step Step = this->Decoder.decode(Input);
  if (this->Decoder.failed()) {
    this->failWith(ErrorCode::Corrupt, "malformed chunked body");
    return false;
  }
  this->Used += Step.Consumed;
  auto Kept = this->Callbacks;
  if (!Step.Data.empty() && Kept->OnBody)
    Kept->OnBody(Step.Data);
  return Step.Consumed > 0 || this->Decoder.done();
}

void ClientConnection::complete() {
  auto Kept = this->Callbacks;
  // Bytes beyond the response, or a request that is not fully sent, leave
  // the connection in an unknown state.
  bool Reusable = !this->CloseAfter && !this->UntilEnd && this->RequestDone &&
                  this->Stream->pending() == 0 && this->Used == this->In.size();
  if (Reusable) {
    this->Phase = State::Idle;
    this->Callbacks.reset();
    this->Client->OnIdle(this->shared_from_this());
  } else {
    this->close();
  }
  if (Kept->OnEnd)
    Kept->OnEnd();
}

void ClientConnection::failWith(ErrorCode Code, const std::string &Message) {
  if (this->Phase == State::Closed)
    return;
  auto Kept = this->Callbacks;
  ClientFailure Failure{{Code, this->Address.str() + ": " + Message},
                        this->requestBytesSent()};
  this->close();
  if (Kept && Kept->OnFailure)
    Kept->OnFailure(Failure);
}

void ClientConnection::updateReads() {
  this->Stream->watchReads(!this->BodyPaused ||
                           this->In.size() - this->Used < MaxUnread);
}

} // namespace amaranthward
