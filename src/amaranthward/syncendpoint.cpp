#include "amaranthward/syncendpoint.h"

namespace amaranthward {

namespace {

const char *mediaTypeOf(const SyncResponse &Answer) {
  return Answer.CompressedReplicatedChunk || Answer.CompressedMemberChunk
             ? "application/octet-stream"
             : "application/json";
}

} // namespace

Result<SyncEndpoint> SyncEndpoint::create(Metrics &Registry,
                                          const std::string &Prefix,
                                          Hooks NewHooks) {
  return SyncEndpoint(Registry.counter(Prefix + "_bytes_in_total"),
                      Registry.counter(Prefix + "_bytes_out_total"),
                      std::move(NewHooks));
}

void SyncEndpoint::serve(const std::shared_ptr<ServerExchange> &Exchange,
                         const std::string &Body) {
  auto Value = parseJson(Body);
  if (!Value)
    return respondError(*Exchange, 400, Value.error().Message);
  auto Request = syncRequestFromJson(*Value, this->Callbacks.Now());
  if (!Request)
    return respondError(*Exchange, 400, Request.error().Message);
  *this->BytesIn += Body.size();
  ServerExchange::Hooks Hooks;
  Hooks.OnAborted = [this, Node = Request->Node, Sequence = Request->Sequence] {
    this->Callbacks.OnAbandoned(Node, Sequence);
  };
  Exchange->setHooks(std::move(Hooks));
  this->Callbacks.OnRequest(
      *Request, [this, Exchange](const SyncResponse &Answer) {
        std::string Body = encodeSyncResponse(Answer);
        *this->BytesOut += Body.size();
        Exchange->setHooks({});
        respond(*Exchange, 200, mediaTypeOf(Answer), Body);
      });
}

} // namespace amaranthward
