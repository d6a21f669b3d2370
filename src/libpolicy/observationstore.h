#ifndef AMARANTHWARD_LIBPOLICY_OBSERVATIONSTORE_H
#define AMARANTHWARD_LIBPOLICY_OBSERVATIONSTORE_H

#include "libpolicy/observation.h"
#include <deque>
#include <map>
#include <utility>

namespace amaranthward {

struct ObservationLimits {
  /// Distinct (reporter, incarnation, service, version, route).
  std::size_t Entries = 200000;
  /// Incarnations of one reporter and service that are kept apart; older ones
  /// stay in the sums and accept no further reports.
  std::size_t Incarnations = 4;
};

/// The latest counters of each reporter and incarnation. Lost, late, duplicated
/// and reordered reports leave the same state, because each counter only ever
/// rises to the highest value reported.
class ObservationStore {
public:
  using VersionRoute = std::pair<VersionName, RouteName>;
  using Sums = std::map<VersionRoute, CallCounters>;

  static Result<ObservationStore> create(ObservationLimits Limits);

  /// Returns whether any counter rose. Fails with Exhausted when the store is
  /// full, and with Stale for an incarnation that has been retired.
  Result<bool> record(const Observation &One);

  /// Sums over all reporters and incarnations, per version and route.
  const Sums &sums(const ServiceName &Service) const;

  /// Drops everything about \a Service, for use when no move is open.
  void forget(const ServiceName &Service);

  std::size_t entries() const { return this->Count; }

private:
  /// One reporter's counters on one service.
  struct Reporter {
    std::map<Incarnation, Sums> Processes;
    /// Incarnations in the order of their first report.
    std::deque<Incarnation> Order;
    std::deque<Incarnation> Retired;
  };
  struct ServiceCounters {
    std::map<NodeName, Reporter> Reporters;
    Sums Totals;
  };

  explicit ObservationStore(ObservationLimits Limits) : Limits(Limits) {}
  void retireOldest(Reporter &From);
  Result<void> admit(Reporter &From, const Observation &One);

  ObservationLimits Limits;
  std::size_t Count = 0;
  std::map<ServiceName, ServiceCounters> Services;
};

} // namespace amaranthward

#endif
