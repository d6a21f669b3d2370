#include "amaranthward/synctransport.h"

namespace amaranthward {

namespace {

// Request line, status line and header fields of one exchange.
constexpr std::uint64_t HeadBytes = 150;

} // namespace

Result<std::unique_ptr<SyncTransport>>
SyncTransport::create(HttpClient &Client, Metrics &Registry, Hooks NewHooks) {
  return std::unique_ptr<SyncTransport>(
      new SyncTransport(Client, Registry, std::move(NewHooks)));
}

void SyncTransport::send(const Endpoint &To, const SyncRequest &Request) {
  if (this->UnderWay)
    this->UnderWay->cancel();
  this->Received = HttpResponse();
  std::string Body = dumpJson(toJson(Request));
  this->BytesOut += Body.size() + HeadBytes;

  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/v1/sync";
  Head.Headers.add("Content-Type", "application/json");
  Head.BodyLength = Body.size();
  std::uint64_t Sequence = Request.Sequence;
  ClientExchange::Hooks Hooks;
  Hooks.OnHead = [this](const HttpResponseHead &Response) {
    this->Received.Head = Response;
  };
  Hooks.OnBody = [this, Sequence](std::string_view Data) {
    this->Received.Body += Data;
    if (this->Received.Body.size() <= MaxResponseBytes)
      return;
    this->UnderWay->cancel();
    this->UnderWay.reset();
    this->Callbacks.OnFailure(Sequence);
  };
  Hooks.OnEnd = [this, Sequence] { this->onEnd(Sequence); };
  Hooks.OnFailure = [this, Sequence](const ClientFailure &) {
    this->UnderWay.reset();
    this->Callbacks.OnFailure(Sequence);
  };
  this->UnderWay = this->Client.send(To, Head, std::move(Hooks));
  this->UnderWay->sendBody(Body);
  this->UnderWay->finishBody();
}

void SyncTransport::onEnd(std::uint64_t Sequence) {
  this->UnderWay.reset();
  HttpResponse Done = std::move(this->Received);
  this->BytesIn += Done.Body.size() + HeadBytes;
  if (Done.Head.Status == 421 || Done.Head.Status == 503) {
    Endpoint Leader(Done.Head.Headers.get("Amaranth-Leader"));
    return this->Callbacks.OnRedirect(Sequence, Leader);
  }
  if (Done.Head.Status != 200)
    return this->Callbacks.OnFailure(Sequence);
  auto Value = parseJson(Done.Body);
  if (!Value)
    return this->Callbacks.OnFailure(Sequence);
  auto Response = syncResponseFromJson(*Value);
  if (!Response)
    return this->Callbacks.OnFailure(Sequence);
  this->Callbacks.OnResponse(*Response);
}

} // namespace amaranthward
