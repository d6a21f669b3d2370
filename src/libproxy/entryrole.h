#ifndef AMARANTHWARD_LIBPROXY_ENTRYROLE_H
#define AMARANTHWARD_LIBPROXY_ENTRYROLE_H

#include "libproxy/entrycall.h"
#include <unordered_map>

namespace amaranthward {

struct EntryOptions {
  NodeIdentity Self;
  HeaderNames Names;
  /// Service of the upstream beside this node; may be set later.
  ServiceName OwnService;
  /// See NodeSettings::RetryBound.
  std::optional<Share> RetryBound;
  RandomFunction Random = systemRandom();
  /// Interval at which connections to gates are checked for idle timeouts.
  Duration IdleCheckInterval = std::chrono::milliseconds(50);
};

/// Accepts calls from callers, matches each to a route and forwards it to a
/// gate.
class EntryRole {
public:
  /// Fails with InvalidArgument without a node name or random source.
  static Result<std::unique_ptr<EntryRole>> create(EventLoop &Loop,
                                                   HttpClient &Client,
                                                   EntryOptions Options,
                                                   EntryHooks Hooks);
  ~EntryRole();

  /// Replaces the configuration and the list of members.
  void update(const ProxyState &State);
  /// Sets the service that requests which begin at this node come from.
  void setOwnService(const ServiceName &Service) {
    this->Shared.OwnService = Service;
  }
  /// Handles a request from the callers' listener that is not addressed to the
  /// node itself. Requests without a route or with malformed headers are
  /// refused.
  void handle(std::shared_ptr<ServerExchange> Exchange);
  /// Limits the share of a version at this node to \a Largest, if that is lower
  /// than its share in the split. Share::all() removes the limit.
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
