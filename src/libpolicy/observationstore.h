#ifndef AMARANTHWARD_LIBPOLICY_OBSERVATIONSTORE_H
#define AMARANTHWARD_LIBPOLICY_OBSERVATIONSTORE_H

#include "libpolicy/observation.h"
#include <deque>
#include <map>
#include <utility>

namespace amaranthward {

struct ObservationLimits {
  /// Largest number of entries; each is one reporter, incarnation, service,
  /// version and route.
  std::size_t Entries = 200000;
  /// Largest number of incarnations tracked per reporter and service. The
  /// oldest is retired beyond it: its calls stay in the sums, and further
  /// reports of it are rejected.
  std::size_t Incarnations = 4;
};

/// Sums the reported call counters over all reporters and incarnations. Lost,
/// late, duplicated and reordered reports lead to the same state, because each
/// counter is raised to the highest value reported.
class ObservationStore {
public:
  using VersionRoute = std::pair<VersionName, RouteName>;
  using Sums = std::map<VersionRoute, CallCounters>;

  /// Fails with InvalidArgument when a limit is zero.
  static Result<ObservationStore> create(ObservationLimits Limits);

  /// Returns whether any counter has increased. Fails with Exhausted when the
  /// store is full, and with Stale for an incarnation that has been retired.
  Result<bool> record(const Observation &Report);

  /// Sums over all reporters and incarnations, per version and route.
  const Sums &sums(const ServiceName &Service) const;

  /// Removes all counters of \a Service; for use when no move is open.
  void forget(const ServiceName &Service);

  /// Present number of entries as counted for ObservationLimits::Entries.
  std::size_t entries() const { return this->EntryCount; }

private:
  /// One reporter's counters on one service.
  struct Reporter {
    std::map<Incarnation, Sums> Processes;
    /// Incarnations in the order of their first report.
    std::deque<Incarnation> ArrivalOrder;
    /// Retired incarnations, oldest first; bounded in number.
    std::deque<Incarnation> Retired;
  };
  struct ServiceCounters {
    std::map<NodeName, Reporter> Reporters;
    Sums Totals;
  };

  explicit ObservationStore(ObservationLimits Limits) : Limits(Limits) {}
  void retireOldest(Reporter &Source);
  /// Makes room for the incarnation of \a Report, or fails as record() does.
  Result<void> admit(Reporter &Source, const Observation &Report);

  ObservationLimits Limits;
  std::size_t EntryCount = 0;
  std::map<ServiceName, ServiceCounters> Services;
};

} // namespace amaranthward

#endif
