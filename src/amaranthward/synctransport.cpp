#include "amaranthward/synctransport.h"

namespace amaranthward {

namespace {

// Approximate size of the start line and header fields of one message, counted
// in addition to its body.
constexpr std::uint64_t HeadBytes = 150;

} // namespace

Result<std::unique_ptr<SyncTransport>>
SyncTransport::create(HttpClient &Client, Metrics &Registry, Hooks NewHooks) {
  return std::unique_ptr<SyncTransport>(
      new SyncTransport(Client, Registry, std::move(NewHooks)));
}

void SyncTransport::send(const Endpoint &To, const SyncRequest &Request) {
  std::string Body = dumpJson(toJson(Request));
  this->BytesOut += Body.size() + HeadBytes;
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/v1/sync";
  Head.Headers.add("Content-Type", "application/json");
  std::uint64_t Sequence = Request.Sequence;
  this->Client.call(
      To, Head, std::move(Body), Timeout, MaxResponseBytes,
      [this, Sequence](Result<HttpResponse> Done) {
        if (!Done)
          return this->Callbacks.OnFailure(Sequence);
        this->onDone(Sequence, *Done);
      },
      [this, Sequence] { this->Callbacks.OnProgress(Sequence); });
}

void SyncTransport::onDone(std::uint64_t Sequence, const HttpResponse &Done) {
  this->BytesIn += Done.Body.size() + HeadBytes;
  if (Done.Head.Status == 421 || Done.Head.Status == 503) {
    Endpoint Leader(Done.Head.Headers.get("Amaranth-Leader"));
    return this->Callbacks.OnRedirect(Sequence, Leader);
  }
  if (Done.Head.Status != 200)
    return this->Callbacks.OnFailure(Sequence);
  auto Response = decodeSyncResponse(Done.Body, MaxResponseBytes);
  if (!Response)
    return this->Callbacks.OnFailure(Sequence);
  this->Callbacks.OnResponse(*Response);
}

} // namespace amaranthward
