#ifndef AMARANTHWARD_AMARANTHWARD_SYNCTRANSPORT_H
#define AMARANTHWARD_AMARANTHWARD_SYNCTRANSPORT_H

#include "libdistribution/syncmessages.h"
#include "libnet/httpclient.h"

namespace amaranthward {

/// Carries the sync protocol of a node over HTTP.
class SyncTransport {
public:
  struct Hooks {
    std::function<void(const SyncResponse &)> OnResponse;
    std::function<void(std::uint64_t Sequence)> OnFailure;
    /// The process does not lead; the address of the leader may be empty.
    std::function<void(std::uint64_t Sequence, const Endpoint &Leader)>
        OnRedirect;
  };

  static Result<std::unique_ptr<SyncTransport>>
  create(HttpClient &Client, Metrics &Registry, Hooks NewHooks);

  void send(const Endpoint &To, const SyncRequest &Request);

  /// Largest response; chunks are smaller by far.
  static constexpr std::size_t MaxResponseBytes = std::size_t{1024} * 1024;
  /// Well above the hold time, so that the sync client notices silence first.
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
