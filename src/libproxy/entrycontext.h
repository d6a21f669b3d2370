#ifndef AMARANTHWARD_LIBPROXY_ENTRYCONTEXT_H
#define AMARANTHWARD_LIBPROXY_ENTRYCONTEXT_H

#include "libnet/httpclient.h"
#include "libpolicy/retrybudget.h"
#include "libpolicy/servicetimes.h"
#include "libpolicy/weightedroundrobin.h"
#include "libproxy/claimrequest.h"
#include "libproxy/responsecheck.h"
#include "libproxy/upstreamdirectory.h"
#include "libproxy/versiondraw.h"

namespace amaranthward {

/// Result of one attempt that reached an upstream; input of the version
/// analysis.
struct AttemptReport {
  ServiceName Service;
  VersionName Version;
  RouteName Route;
  /// False for a 5xx response or an unknown outcome.
  bool Ok = false;
  Duration Latency{0};
};

struct EntryHooks {
  /// An attempt reached an upstream and ended.
  std::function<void(const AttemptReport &)> OnAttempt;
  /// A call has ended. \a KnownOutcome is a value of toString(Outcome), or
  /// "caller-left".
  std::function<void(const RouteName &, const char *KnownOutcome,
                     Duration Took)>
      OnCallEnd;
  /// Called before each forward of a non-idempotent request with an idempotency
  /// key. If unset, such requests are forwarded without a claim.
  ClaimFunction Claim;
  /// Gives back a claim that was granted to a request that did not run.
  std::function<void(const ServiceName &, const std::string &Key,
                     const RequestId &)>
      Release;
};

/// Counters of the entry role since its creation. Each call that matched a
/// route ends in one of Answered, NotRun, Unknown and Cancelled.
struct EntryCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t BaselineRetries = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Cancelled = 0;
};

/// State shared by all calls of one entry.
struct EntryContext {
  EventLoop &Loop;
  HttpClient &Client;
  NodeIdentity Self;
  HeaderNames Names;
  /// Service of the upstream beside this node.
  ServiceName OwnService;
  /// See NodeSettings::RetryBound.
  std::optional<Share> RetryBound;
  EntryHooks Hooks;
  RandomFunction Random;
  ProxyState State;
  /// When \a State was applied at this node.
  Instant StateAppliedAt;
  UpstreamDirectory Directory;
  ShareLimits Limits;
  std::map<ServiceName, RetryBudget> Budgets;
  /// For each route with parts, the order in which calls go to its services.
  std::map<RouteName, WeightedRoundRobin> PartOrders;
  EntryCounters Counters;
  /// Durations of successful attempts, including the network time to the gate.
  std::map<RouteName, ServiceTimes> Times;
  std::uint64_t LastSequence = 0;

  RequestId nextId() { return {this->Self.Start, ++this->LastSequence}; }
  /// Created on first use; null when the configured settings are invalid.
  RetryBudget *budget(const ServiceName &Service);
  void addTime(const RouteName &Route, Duration Took, Instant Now);
  /// Shortest recent duration of an attempt; zero without recent measurements.
  Duration minAttemptTime(const RouteName &Route, Instant Now) const;
  /// The service that the next call on \a Route goes to, by the weights of the
  /// route's parts.
  ServiceName serviceFor(const RouteSpec &Route);
};

} // namespace amaranthward

#endif
