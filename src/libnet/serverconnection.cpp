#include "libnet/serverconnection.h"
#include <algorithm>

namespace amaranthward {

namespace {

/// Unread bytes beyond this stop reading while nobody takes them.
constexpr std::size_t MaxUnread = 16UL * 1024;
/// How long a refused peer may go on sending before the connection closes;
/// closing at once would reset it before it has read the response.
constexpr Duration Linger = std::chrono::seconds(1);
constexpr std::size_t KeptCapacity = 32UL * 1024;

class Exchange final : public ServerExchange {
public:
  Exchange(std::shared_ptr<ServerConnection> Owner, std::uint64_t Sequence,
           HttpRequestHead Head)
      : Owner(Owner), Sequence(Sequence), Head(std::move(Head)),
        Peer(Owner->peer()) {}
  ~Exchange() override { this->abort(); }

  const HttpRequestHead &request() const override { return this->Head; }
  const Endpoint &peer() const override { return this->Peer; }
  void setHooks(Hooks NewHooks) override {
    if (auto Kept = this->connection())
      Kept->setHooks(std::move(NewHooks));
  }
  void pauseBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(true);
  }
  void resumeBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(false);
  }
  void sendInterim(int Status) override {
    if (auto Kept = this->connection())
      Kept->sendInterim(Status);
  }
  void sendHead(const HttpResponseHead &Response) override {
    if (auto Kept = this->connection())
      Kept->sendHead(Response);
  }
  bool sendBody(std::string_view Data) override {
    auto Kept = this->connection();
    return !Kept || Kept->sendBody(Data);
  }
  void finish() override {
    if (auto Kept = this->connection())
      Kept->finish();
  }
  void abort() override {
    if (auto Kept = this->connection())
      Kept->abort();
  }

private:
  std::shared_ptr<ServerConnection> connection() const {
    auto Kept = this->Owner.lock();
    return Kept && Kept->current(this->Sequence) ? Kept : nullptr;
  }

  std::weak_ptr<ServerConnection> Owner;
  std::uint64_t Sequence;
  HttpRequestHead Head;
  Endpoint Peer;
};

} // namespace

ServerConnection::ServerConnection(EventLoop &Loop, Endpoint Peer,
                                   const HttpServerLimits &Limits,
                                   std::shared_ptr<const Owner> Server)
    : Loop(Loop), Peer(std::move(Peer)), Limits(Limits),
      Server(std::move(Server)), PhaseStart(Loop.now()) {}

std::shared_ptr<ServerConnection>
ServerConnection::create(EventLoop &Loop, const Poco::Net::StreamSocket &Socket,
                         Endpoint Peer, const HttpServerLimits &Limits,
                         std::shared_ptr<const Owner> Server) {
  std::shared_ptr<ServerConnection> Made(
      new ServerConnection(Loop, std::move(Peer), Limits, std::move(Server)));
  std::weak_ptr<ServerConnection> Self = Made;
  StreamConnection::Hooks Hooks;
  Hooks.OnData = [Self](std::string_view Data) {
    if (auto Kept = Self.lock())
      Kept->onData(Data);
  };
  Hooks.OnClosed = [Self](const std::string &) {
    if (auto Kept = Self.lock())
      Kept->onClosed();
  };
  Hooks.OnDrained = [Self] {
    if (auto Kept = Self.lock())
      Kept->onDrained();
  };
  Made->Stream = StreamConnection::accept(Loop, Socket, std::move(Hooks));
  return Made;
}

bool ServerConnection::idle() const {
  return this->Phase == State::Head && this->In.empty();
}

bool ServerConnection::current(std::uint64_t Which) const {
  return this->Sequence == Which &&
         (this->Phase == State::Body || this->Phase == State::Response);
}

void ServerConnection::enforceTimeouts(Instant Now) {
  Duration Spent = Now - this->PhaseStart;
  if (this->Phase == State::Closing && Spent > Linger) {
    this->close();
  } else if (this->Phase == State::Head) {
    bool Waiting = this->In.empty() && this->Sequence > 0;
    if (Waiting && Spent > this->Limits.IdleTimeout)
      this->close();
    else if (!Waiting && Spent > this->Limits.HeaderTimeout)
      this->refuse(408, "the request head took too long");
  } else if (this->Phase == State::Body && this->Callbacks &&
             !this->BodyPaused && Spent > this->Limits.IdleTimeout) {
    auto Kept = this->Callbacks;
    this->refuse(408, "the request body stopped");
    if (Kept->OnAborted)
      Kept->OnAborted();
  }
}

void ServerConnection::close() {
  if (this->Phase == State::Closed)
    return;
  auto Self = this->shared_from_this();
  this->Phase = State::Closed;
  this->Callbacks.reset();
  this->Stream->close();
  this->Server->OnGone(this);
}

void ServerConnection::onData(std::string_view Data) {
  if (this->Phase == State::Closing || this->Phase == State::Closed)
    return;
  if (this->idle() || this->Phase == State::Body)
    this->PhaseStart = this->Loop.now();
  this->In.append(Data);
  this->pump();
}

void ServerConnection::onClosed() {
  auto Kept = this->Callbacks;
  this->close();
  if (Kept && Kept->OnAborted)
    Kept->OnAborted();
}

void ServerConnection::onDrained() {
  auto Kept = this->Callbacks;
  if (Kept && Kept->OnDrained)
    Kept->OnDrained();
}

std::string_view ServerConnection::unread() const {
  return std::string_view(this->In).substr(this->Used);
}

void ServerConnection::pump() {
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

bool ServerConnection::pumpHead() {
  std::string_view Input = this->unread();
  if (Input.empty())
    return false;
  HeadScanner::State Found = this->Scanner.scan(Input);
  std::size_t Length = this->Scanner.length();
  if (Found == HeadScanner::State::BareLineFeed) {
    this->refuse(400, "bare line feed in the request head");
    return false;
  }
  if (Length > this->Limits.MaxHeaderBytes) {
    this->refuse(431, "the request head is too large");
    return false;
  }
  if (Found == HeadScanner::State::Partial)
    return false;
  auto Head = parseRequestHead(Input.substr(0, Length));
  this->Scanner.reset();
  this->Used += Length;
  if (!Head) {
    this->refuse(Head.error().Status, Head.error().Message);
    return false;
  }
  this->startRequest(std::move(*Head));
  return true;
}

void ServerConnection::startRequest(HttpRequestHead Head) {
  std::string Expect = Head.Headers.get("Expect");
  std::transform(Expect.begin(), Expect.end(), Expect.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  if (!Expect.empty() && Expect != "100-continue") {
    this->refuse(417, "unsupported expectation");
    return;
  }
  ++this->Sequence;
  this->ExpectsContinue = !Expect.empty() && Head.BodyLength != 0U;
  this->HeadRequest = Head.Method == "HEAD";
  this->CloseAfter = connectionHas(Head.Headers, "close");
  this->HeadSent = this->NoBody = this->BodyPaused = false;
  this->LeftToSend.reset();
  this->Callbacks.reset();
  this->Decoder.start(Head.BodyLength);
  this->Phase = State::Body;
  this->Server->OnRequest(std::make_shared<Exchange>(
      this->shared_from_this(), this->Sequence, std::move(Head)));
}

bool ServerConnection::pumpBody() {
  auto Kept = this->Callbacks;
  if (!Kept || this->BodyPaused)
    return false;
  if (this->Decoder.done()) {
    this->Phase = State::Response;
    if (Kept->OnBodyEnd)
      Kept->OnBodyEnd();
    return true;
  }
  std::string_view Input = this->unread();
  BodyDecoder::Step Step = this->Decoder.decode(Input);
  if (this->Decoder.failed()) {
    this->refuse(400, "malformed chunked body");
    if (Kept->OnAborted)
      Kept->OnAborted();
    return false;
  }
  this->Used += Step.Consumed;
  if (!Step.Data.empty() && Kept->OnBody)
    Kept->OnBody(Step.Data);
  return Step.Consumed > 0 || this->Decoder.done();
}

void ServerConnection::refuse(int Status, const std::string &Message) {
  this->Callbacks.reset();
  if (this->HeadSent && this->Phase == State::Body) {
    this->close();
    return;
  }
  HttpResponseHead Head;
  Head.Status = Status;
  Head.Headers.add("Content-Type", "text/plain; charset=utf-8");
  Head.BodyLength = Message.size() + 1;
  this->Stream->write(serializeResponseHead(Head, false, true));
  this->Stream->write(Message + "\n");
  this->CloseAfter = true;
  this->endResponse();
}

void ServerConnection::setHooks(ServerExchange::Hooks NewHooks) {
  this->Callbacks =
      std::make_shared<ServerExchange::Hooks>(std::move(NewHooks));
  if (this->ExpectsContinue && !this->HeadSent) {
    this->ExpectsContinue = false;
    this->sendInterim(100);
  }
  if (!this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
}

void ServerConnection::pauseBody(bool Paused) {
  this->BodyPaused = Paused;
  this->PhaseStart = this->Loop.now();
  if (!Paused && !this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
  else
    this->updateReads();
}

void ServerConnection::sendInterim(int Status) {
  if (this->HeadSent || Status < 100 || Status > 199)
    return;
  HttpResponseHead Head;
  Head.Status = Status;
  this->Stream->write(serializeResponseHead(Head, false, false));
}

void ServerConnection::sendHead(const HttpResponseHead &Head) {
  if (this->HeadSent)
    return;
  this->HeadSent = true;
  if (this->Server->Draining() || connectionHas(Head.Headers, "close"))
    this->CloseAfter = true;
  this->NoBody = bodyless(Head.Status, this->HeadRequest);
  this->LeftToSend = Head.BodyLength;
  this->Stream->write(
      serializeResponseHead(Head, this->HeadRequest, this->CloseAfter));
}

bool ServerConnection::sendBody(std::string_view Data) {
  if (!this->HeadSent || this->NoBody || Data.empty())
    return true;
  if (this->LeftToSend) {
    if (Data.size() > *this->LeftToSend) {
      this->abort();
      return true;
    }
    *this->LeftToSend -= Data.size();
    return this->Stream->write(Data);
  }
  std::string Prefix;
  appendChunkSize(Prefix, Data.size());
  this->Stream->write(Prefix);
  this->Stream->write(Data);
  return this->Stream->write("\r\n");
}

void ServerConnection::finish() {
  // A response shorter than announced must look broken to the peer.
  if (!this->HeadSent || (!this->NoBody && this->LeftToSend.value_or(0) > 0)) {
    this->abort();
    return;
  }
  if (!this->NoBody && !this->LeftToSend)
    this->Stream->write(LastChunk);
  if (this->Phase == State::Body && !this->skipReceivedBody())
    this->CloseAfter = true;
  this->endResponse();
}

bool ServerConnection::skipReceivedBody() {
  BodyDecoder::Step Step;
  do {
    Step = this->Decoder.decode(this->unread());
    this->Used += Step.Consumed;
  } while (Step.Consumed > 0 && !this->Decoder.done());
  return this->Decoder.done();
}

void ServerConnection::endResponse() {
  this->Callbacks.reset();
  this->PhaseStart = this->Loop.now();
  if (this->CloseAfter) {
    this->Phase = State::Closing;
    this->Stream->finishWrites();
    this->updateReads();
    return;
  }
  this->Phase = State::Head;
  if (!this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
}

void ServerConnection::abort() { this->close(); }

void ServerConnection::updateReads() {
  bool TakesBody =
      this->Phase == State::Body && this->Callbacks && !this->BodyPaused;
  this->Stream->watchReads(this->Phase == State::Head ||
                           this->Phase == State::Closing || TakesBody ||
                           this->In.size() - this->Used < MaxUnread);
}

} // namespace amaranthward
