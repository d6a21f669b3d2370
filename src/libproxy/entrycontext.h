#ifndef AMARANTHWARD_LIBPROXY_ENTRYCONTEXT_H
#define AMARANTHWARD_LIBPROXY_ENTRYCONTEXT_H

#include "libnet/httpclient.h"
#include "libpolicy/retrybudget.h"
#include "libpolicy/servicetimes.h"
#include "libpolicy/weightedorder.h"
#include "libproxy/claimrequest.h"
#include "libproxy/responsecheck.h"
#include "libproxy/upstreamdirectory.h"
#include "libproxy/versiondraw.h"

namespace amaranthward {

/// One attempt that reached an upstream, for the version analysis.
struct AttemptReport {
  ServiceName Service;
  VersionName Version;
  RouteName Route;
  bool Ok = false;
  Duration Latency{0};
};

struct EntryHooks {
  std::function<void(const AttemptReport &)> OnAttempt;
  /// A call is over; \a Known is its outcome, or "caller-left".
  std::function<void(const RouteName &, const char *Known, Duration Took)>
      OnCallEnd;
  /// Consulted before each forward of a request that is not idempotent and
  /// has a key. Without it such requests are forwarded directly.
  ClaimFunction Claim;
  /// The claim was granted and the request was not run.
  std::function<void(const ServiceName &, const std::string &Key,
                     const RequestId &)>
      Release;
};

/// Counters of the entry role.
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

/// What all calls of one entry share.
struct EntryContext {
  EventLoop &Loop;
  HttpClient &Client;
  NodeIdentity Self;
  HeaderNames Names;
  /// Service of the upstream beside this node.
  ServiceName OwnService;
  std::optional<Share> RetryBound;
  EntryHooks Hooks;
  RandomFunction Random;
  ProxyState State;
  /// When \a State was put in force here.
  Instant StateAppliedAt;
  UpstreamDirectory Directory;
  ShareLimits Limits;
  std::map<ServiceName, RetryBudget> Budgets;
  std::map<RouteName, WeightedOrder> Parts;
  EntryCounters Counters;
  /// Times of successful attempts, with the way to the gate.
  std::map<RouteName, ServiceTimes> Times;
  std::uint64_t LastSequence = 0;

  RequestId nextId() { return {this->Self.Start, ++this->LastSequence}; }
  RetryBudget *budget(const ServiceName &Service);
  void addTime(const RouteName &Route, Duration Took, Instant Now);
  /// Time that an attempt needs at least; zero when it was not measured lately.
  Duration minAttemptTime(const RouteName &Route, Instant Now) const;
  /// The service of the next call on \a Route.
  ServiceName serviceFor(const RouteSpec &Route);
};

} // namespace amaranthward

#endif
