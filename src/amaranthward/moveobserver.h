#ifndef AMARANTHWARD_AMARANTHWARD_MOVEOBSERVER_H
#define AMARANTHWARD_AMARANTHWARD_MOVEOBSERVER_H

#include "libconfig/routingview.h"
#include "libpolicy/localsharelimiter.h"
#include "libpolicy/observation.h"
#include "libproxy/entrycontext.h"
#include <map>
#include <optional>
#include <string>

namespace amaranthward {

/// Limit on the share of calls that this node sends to a version.
struct VersionShareLimit {
  ServiceName Service;
  VersionName Version;
  /// Share::all() is no limit.
  Share MaxShare;
};

/// Counts this node's calls per version and route while moves are open. The
/// counters are reported to the control leader, and this node lowers the share
/// of a candidate by itself when its own calls show that the candidate is
/// bad or suspect.
class MoveObserver {
public:
  static Result<MoveObserver> create(NodeName Self, Incarnation Start);

  /// Starts counting for moves that have opened and stops for those that
  /// closed.
  void update(const RoutingView &View);
  /// Counts one attempt; ignored while its service has no open move.
  void record(const AttemptReport &Attempt);
  /// Evaluates this node's own counters. Returns whether a share was lowered.
  bool step(Instant Now);

  /// Limits for the candidates of all open moves, and removed limits
  /// (Share::all) for those of moves that closed since the last call.
  std::vector<VersionShareLimit> shareLimits();
  /// MoveReport list with the cumulative counters of all open moves; unset when
  /// no move is open.
  std::optional<Json> report() const;
  Json dump() const;

private:
  using VersionRoute = std::pair<VersionName, RouteName>;

  /// Counters of one open move on this node.
  struct ObservedMove {
    std::string MoveId;
    VersionName Candidate;
    VersionName Baseline;
    std::map<VersionRoute, CallCounters> Counters;
    /// Unset when the move has no candidate.
    std::optional<LocalShareLimiter> Limiter;
  };

  MoveObserver(NodeName Self, Incarnation Start)
      : Self(std::move(Self)), Start(Start) {}
  void observeMove(const ServiceName &Service, const Json &Move,
                   const RoutingView &View);
  /// Removes the limit on the candidate of a move that closed.
  void releaseLimit(const ServiceName &Service, const ObservedMove &Closed);

  NodeName Self;
  Incarnation Start;
  std::map<ServiceName, ObservedMove> ObservedMoves;
  std::vector<VersionShareLimit> ReleasedLimits;
};

} // namespace amaranthward

#endif
