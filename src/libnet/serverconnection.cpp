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
  bool peerLeft() override {
    auto Kept = this->connection();
    return !Kept || Kept->peerLeft();
  }
  void setHooks(Hooks NewHooks) override {
    if (auto Kept = this->connection())
      Kept->setHooks(this->Sequence, std::move(NewHooks));
  }
  void pauseBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(this->Sequence, true);
  }
  void resumeBody() override {
    if (auto Kept = this->connection())
      Kept->pauseBody(this->Sequence, false);
  }
  void sendInterim(int Status) override {
    if (auto Kept = this->connection())
      Kept->sendInterim(this->Sequence, Status);
  }
  void sendHead(const HttpResponseHead &Response) override {
    if (auto Kept = this->connection())
      Kept->sendHead(this->Sequence, Response);
  }
  bool sendBody(std::string_view Data) override {
    auto Kept = this->connection();
    return !Kept || Kept->sendBody(this->Sequence, Data);
  }
  void finish() override {
    if (auto Kept = this->connection())
      Kept->finish(this->Sequence);
  }
  void abort() override {
    if (auto Kept = this->connection())
      Kept->abort(this->Sequence);
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
  Hooks.OnClosed = [Self](ConnectionEnd, const std::string &) {
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
  return this->Phase == State::Head && this->In.empty() &&
         this->Requests.empty() && !this->Held;
}

PendingResponse *ServerConnection::find(std::uint64_t Which) {
  for (PendingResponse &One : this->Requests)
    if (One.Sequence == Which)
      return One.Finished || One.Broken ? nullptr : &One;
  return nullptr;
}

bool ServerConnection::current(std::uint64_t Which) {
  return this->find(Which) != nullptr;
}

void ServerConnection::enforceTimeouts(Instant Now) {
  Duration Spent = Now - this->PhaseStart;
  if (this->Phase == State::Closing && Spent > Linger) {
    this->close();
  } else if (this->Phase == State::Head && this->Requests.empty()) {
    bool Waiting = this->In.empty() && this->Sequence > 0;
    if (Waiting && Spent > this->Limits.IdleTimeout)
      this->close();
    else if (!Waiting && Spent > this->Limits.HeaderTimeout)
      this->refuse(408, "the request head took too long");
  } else if (this->Phase == State::Body && this->last().Callbacks &&
             !this->BodyPaused && Spent > this->Limits.IdleTimeout) {
    auto Kept = this->last().Callbacks;
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
  this->Requests.clear();
  this->Held.reset();
  this->Stream->close();
  this->Server->OnGone(this);
}

void ServerConnection::abortAll() {
  auto Self = this->shared_from_this();
  std::vector<std::shared_ptr<ServerExchange::Hooks>> All;
  for (const PendingResponse &One : this->Requests)
    if (One.Callbacks)
      All.push_back(One.Callbacks);
  this->close();
  for (const auto &Each : All)
    if (Each->OnAborted)
      Each->OnAborted();
}

void ServerConnection::onData(std::string_view Data) {
  if (this->Phase == State::Closing || this->Phase == State::Closed)
    return;
  if (this->idle() || this->Phase == State::Body)
    this->PhaseStart = this->Loop.now();
  this->In.append(Data);
  this->pump();
}

void ServerConnection::onClosed() { this->abortAll(); }

void ServerConnection::onDrained() {
  if (this->Requests.empty())
    return;
  auto Kept = this->Requests.front().Callbacks;
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
  if (this->Held) {
    if (!this->mayStart(*this->Held))
      return false;
    HttpRequestHead Next = std::move(*this->Held);
    this->Held.reset();
    this->startRequest(std::move(Next));
    return true;
  }
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
  std::string Expect = Head->Headers.get("Expect");
  std::transform(Expect.begin(), Expect.end(), Expect.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  if (!Expect.empty() && Expect != "100-continue") {
    this->refuse(417, "unsupported expectation");
    return false;
  }
  this->Held = std::move(*Head);
  return true;
}

// A peer sends what was behind a closed response again, so only a request that
// may be repeated is started beside others.
bool ServerConnection::mayStart(const HttpRequestHead &Head) const {
  if (this->Requests.empty())
    return true;
  bool Repeatable = (Head.Method == "GET" || Head.Method == "HEAD") &&
                    Head.BodyLength == std::uint64_t(0);
  return Repeatable && this->Requests.size() < MostAtOnce &&
         !this->Requests.back().CloseAfter;
}

void ServerConnection::startRequest(HttpRequestHead Head) {
  PendingResponse One;
  One.Sequence = ++this->Sequence;
  One.ExpectsContinue =
      Head.Headers.has("Expect") && Head.BodyLength != std::uint64_t(0);
  One.HeadRequest = Head.Method == "HEAD";
  One.CloseAfter = connectionHas(Head.Headers, "close");
  this->Requests.push_back(std::move(One));
  this->BodyPaused = false;
  this->Decoder.start(Head.BodyLength);
  this->Phase = State::Body;
  this->Server->OnRequest(std::make_shared<Exchange>(
      this->shared_from_this(), this->Sequence, std::move(Head)));
}

bool ServerConnection::pumpBody() {
  auto Kept = this->last().Callbacks;
  if (!Kept || this->BodyPaused)
    return false;
  if (this->Decoder.done()) {
    this->Phase = State::Head;
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

// Answers what cannot be served in its turn, and reads nothing more.
void ServerConnection::refuse(int Status, const std::string &Message) {
  bool InBody = this->Phase == State::Body;
  this->Phase = State::Stopped;
  if (InBody && this->last().HeadSent)
    return this->close();
  if (!InBody) {
    PendingResponse One;
    One.Sequence = ++this->Sequence;
    this->Requests.push_back(std::move(One));
  }
  PendingResponse &Refused = this->last();
  Refused.Callbacks.reset();
  Refused.CloseAfter = true;
  HttpResponseHead Head;
  Head.Status = Status;
  Head.Headers.add("Content-Type", "text/plain; charset=utf-8");
  Head.BodyLength = Message.size() + 1;
  this->write(Refused, serializeResponseHead(Head, false, true));
  this->write(Refused, Message + "\n");
  this->endResponse(Refused);
}

void ServerConnection::setHooks(std::uint64_t Which,
                                ServerExchange::Hooks NewHooks) {
  PendingResponse *One = this->find(Which);
  One->Callbacks = std::make_shared<ServerExchange::Hooks>(std::move(NewHooks));
  this->sendContinue(*One);
  if (!this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
}

void ServerConnection::pauseBody(std::uint64_t Which, bool Paused) {
  // The bodies of the requests before the last one are complete.
  if (!this->isLast(*this->find(Which)))
    return;
  this->BodyPaused = Paused;
  this->PhaseStart = this->Loop.now();
  this->sendContinue(this->last());
  if (!Paused && !this->Pumping)
    this->Loop.post([Self = this->shared_from_this()] { Self->pump(); });
  else
    this->updateReads();
}

void ServerConnection::updateReads() {
  bool TakesBody =
      this->Phase == State::Body && this->last().Callbacks && !this->BodyPaused;
  this->Stream->watchReads((this->Phase == State::Head && !this->Held) ||
                           this->Phase == State::Closing || TakesBody ||
                           this->In.size() - this->Used < MaxUnread);
}

} // namespace amaranthward
