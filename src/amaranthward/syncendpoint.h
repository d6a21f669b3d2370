#ifndef AMARANTHWARD_AMARANTHWARD_SYNCENDPOINT_H
#define AMARANTHWARD_AMARANTHWARD_SYNCENDPOINT_H

#include "libdistribution/syncserver.h"
#include "libnet/httprouter.h"

namespace amaranthward {

/// HTTP side of a SyncServer: decodes POST /v1/sync and encodes the answer.
class SyncEndpoint {
public:
  struct Hooks {
    MonotonicClockFunction Now;
    std::function<void(const SyncRequest &, SyncServer::Complete)> OnRequest;
    /// The node closed the connection before its request was answered.
    std::function<void(const NodeName &, std::uint64_t Sequence)> OnAbandoned;
  };

  /// Counts the bytes of bodies in the metrics PREFIX_bytes_in_total and
  /// PREFIX_bytes_out_total.
  static Result<SyncEndpoint> create(Metrics &Registry,
                                     const std::string &Prefix, Hooks NewHooks);

  /// Answers with status 400 when the body is malformed.
  void serve(const std::shared_ptr<ServerExchange> &Exchange,
             const std::string &Body);

private:
  SyncEndpoint(std::uint64_t &BytesIn, std::uint64_t &BytesOut, Hooks NewHooks)
      : BytesIn(&BytesIn), BytesOut(&BytesOut), Callbacks(std::move(NewHooks)) {
  }

  std::uint64_t *BytesIn;
  std::uint64_t *BytesOut;
  Hooks Callbacks;
};

} // namespace amaranthward

#endif
