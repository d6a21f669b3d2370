#ifndef AMARANTHWARD_LIBPROXY_ENTRYROLE_H
#define AMARANTHWARD_LIBPROXY_ENTRYROLE_H

#include "libproxy/entrycall.h"
#include <unordered_map>

namespace amaranthward {

struct EntryOptions {
  NodeIdentity Self;
  HeaderNames Names;
  ServiceName OwnService;
  /// See NodeSettings::RetryBound.
  std::optional<Share> RetryBound;
  RandomFunction Random = systemRandom();
  /// How often silent connections are looked for.
  Duration IdleCheckInterval = std::chrono::milliseconds(50);
};

/// Takes the calls of callers and forwards each to a gate.
class EntryRole {
public:
  static Result<std::unique_ptr<EntryRole>> create(EventLoop &Loop,
                                                   HttpClient &Client,
                                                   EntryOptions Options,
                                                   EntryHooks Hooks);
  ~EntryRole();

  void update(const ProxyState &State);
  /// The service of the upstream beside this node has become known.
  void setOwnService(const ServiceName &Service) {
    this->Shared.OwnService = Service;
  }
  /// Any request on the callers' listener that is not the node's own.
  void handle(std::shared_ptr<ServerExchange> Exchange);
  /// Bounds the share of a version at this node; it never grows beyond the
  /// split. Share::all() removes the bound.
  void limitShare(const ServiceName &Service, const VersionName &Version,
                  Share Largest);

  std::size_t inFlightRequests() const { return this->Calls.size(); }
  const EntryCounters &counters() const { return this->Shared.Counters; }
  Json dump() const;

private:
  EntryRole(EventLoop &Loop, HttpClient &Client, EntryOptions Options,
            EntryHooks Hooks);
  void refuse(ServerExchange &Exchange, int Status, const std::string &Reason);

  EntryContext Shared;
  std::unordered_map<EntryCall *, std::shared_ptr<EntryCall>> Calls;
  EventLoop::TimerId Ticker = 0;
};

} // namespace amaranthward

#endif
