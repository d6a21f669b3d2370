#ifndef AMARANTHWARD_LIBPOLICY_MOVEINPUTS_H
#define AMARANTHWARD_LIBPOLICY_MOVEINPUTS_H

#include "libpolicy/versionanalysis.h"
#include <map>

namespace amaranthward {

/// The leader's measurements of a service that MovePacer::decide() uses.
struct MoveInputs {
  WallTime Now;
  /// The result of the analysis of the move's candidate against its baseline.
  AnalysisVerdict Verdict;
  /// Calls per second of the service, all versions together; 0 while unknown.
  double CallsPerSecond = 0;
  /// Calls of the service, all versions together, since the move began, from
  /// the same counters as the verdict.
  std::uint64_t AllCalls = 0;
  /// Mean number of concurrent calls of the service (call rate times mean
  /// latency); 0 while unknown.
  double CallsInFlight = 0;
  /// Concurrent calls that the available upstreams of each version can serve; a
  /// version without an entry has no upstreams.
  std::map<VersionName, double> Capacity;
  /// Fraction (0 to 1) of the reporting nodes whose local limiter rejects the
  /// candidate; 0 while unknown. Used only after the deadline, where more than
  /// half rolls the move back.
  double RejectingFraction = 0;
  /// Time from an answer of the candidate until a decision that rests on it is
  /// in force at the nodes, as measured.
  Duration ReactionTime = std::chrono::seconds(1);
  /// Time since this replica became leader.
  Duration Leading = Duration::max();
  /// Number of routes of the service; scales the call rate
  /// and the number of calls needed at the start of a move.
  std::uint32_t Routes = 1;
  /// The candidate has been marked bad, in this move or an earlier one.
  bool CandidateMarkedBad = false;
};

} // namespace amaranthward

#endif
