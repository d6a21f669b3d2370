#ifndef AMARANTHWARD_BENCH_POLICY_MESHEXPERIMENT_H
#define AMARANTHWARD_BENCH_POLICY_MESHEXPERIMENT_H

#include "libpolicy/upstreamselector.h"
#include "simulatedgate.h"
#include <array>
#include <string>
#include <vector>

namespace amaranthward {

enum class ChoicePolicy { TwoChoices, RoundRobin };
enum class RetryPolicy {
  Budget,    ///< decideRetry with a budget per entry
  Unlimited, ///< decideRetry as if the budget were never spent
};

const char *toString(ChoicePolicy Policy);
const char *toString(RetryPolicy Policy);

/// One service over the zones of a site.
struct MeshExperiment {
  GatePolicy Gate = GatePolicy::Admission;
  ChoicePolicy Choice = ChoicePolicy::TwoChoices;
  RetryPolicy Retries = RetryPolicy::Budget;
  /// Upstreams by zone.
  std::vector<std::uint32_t> Upstreams = {4, 3, 3};
  std::uint32_t Entries = 13;
  Duration BetweenZones = std::chrono::milliseconds(1);
  UpstreamModelSettings Upstream;
  AdmissionSettings Limits;
  /// Calls per second and upstream, before and after \a WarmAfter. The first
  /// rate leaves room for all upstreams to warm up.
  double WarmingRate = 60;
  double Rate = 110;
  Duration WarmAfter = std::chrono::seconds(35);
  /// Zone 0 leaves and returns; never when zero.
  Duration Leaves = Duration::zero();
  Duration Returns = Duration::zero();
  /// Half of the upstreams refuse every connection from this time; never when
  /// zero.
  Duration HalfRefuse = Duration::zero();
  Duration Length = std::chrono::seconds(60);
  /// Longest time until a node knows a change.
  Duration Propagation = std::chrono::milliseconds(800);
  std::uint64_t Seed = 1;
};

/// Counted from \a WarmAfter on.
struct MeshFigures {
  std::array<std::uint64_t, 3> Calls{};
  std::array<std::uint64_t, 3> Lost{};
  std::uint64_t Attempts = 0;
  std::uint64_t AllCalls = 0;
  /// Calls started in the zone later than 2 s after it left.
  std::uint64_t NewWorkWhileOut = 0;
  /// Starts above what a cold upstream can bear, from the start and after the
  /// zone's return.
  std::uint64_t AboveAtStart = 0;
  std::uint64_t AboveAfterReturn = 0;
  std::uint64_t Falls = 0;
  double P99Millis = 0;
  /// Share of attempts that stayed in the entry's zone.
  double OwnZone = 0;
};

MeshFigures run(const MeshExperiment &Experiment);

} // namespace amaranthward

#endif
