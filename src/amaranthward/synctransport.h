#ifndef AMARANTHWARD_AMARANTHWARD_SYNCTRANSPORT_H
#define AMARANTHWARD_AMARANTHWARD_SYNCTRANSPORT_H

#include "libdistribution/syncmessages.h"
#include "libnet/httpclient.h"

namespace amaranthward {

/// Client side of the sync protocol over HTTP: sends requests to a parent,
/// which is a control replica or a relay node.
class SyncTransport {
public:
  struct Hooks {
    std::function<void(const SyncResponse &)> OnResponse;
    /// Bytes of the answer to the request with this sequence number arrived.
    std::function<void(std::uint64_t Sequence)> OnProgress;
    /// No usable answer to the request with this sequence number.
    std::function<void(std::uint64_t Sequence)> OnFailure;
    /// The replica is not the leader; \a Leader is empty when it is unknown.
    std::function<void(std::uint64_t Sequence, const Endpoint &Leader)>
        OnRedirect;
  };

  static Result<std::unique_ptr<SyncTransport>>
  create(HttpClient &Client, Metrics &Registry, Hooks NewHooks);

  void send(const Endpoint &To, const SyncRequest &Request);

  /// Largest response body. Well above the chunk size of SyncServer.
  static constexpr std::size_t MaxResponseBytes = std::size_t{1024} * 1024;
  /// Well above the hold time, so that the silence timeout of the sync client
  /// expires first.
  static constexpr Duration Timeout = std::chrono::seconds(5);

private:
  SyncTransport(HttpClient &Client, Metrics &Registry, Hooks NewHooks)
      : Client(Client), BytesIn(Registry.counter("control_bytes_in_total")),
        BytesOut(Registry.counter("control_bytes_out_total")),
        Callbacks(std::move(NewHooks)) {}
  void onDone(std::uint64_t Sequence, const HttpResponse &Done);

  HttpClient &Client;
  std::uint64_t &BytesIn;
  std::uint64_t &BytesOut;
  Hooks Callbacks;
};

} // namespace amaranthward

#endif
