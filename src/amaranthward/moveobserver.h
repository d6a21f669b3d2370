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

/// Largest share that this node uses for a version.
struct ShareBound {
  ServiceName Service;
  VersionName Version;
  Share Largest;
};

/// Counts this node's calls while moves are open: for the leader's decisions,
/// and for the node's own reduction of a share.
class MoveObserver {
public:
  static Result<MoveObserver> create(NodeName Self, Incarnation Start);

  /// Starts and ends counting as moves open and close.
  void update(const RoutingView &View);
  void record(const AttemptReport &Attempt);
  /// Evaluates this node's own evidence. Returns whether a share fell.
  bool step(Instant Now);

  /// Bounds on the candidates of all open moves, and of those that closed
  /// since the last call; Share::all() is no bound.
  std::vector<ShareBound> bounds();
  /// Cumulative counters of all open moves; none when no move is open.
  std::optional<Json> report() const;
  Json dump() const;

private:
  using VersionRoute = std::pair<VersionName, RouteName>;

  /// One open move as this node sees it.
  struct Watch {
    std::string MoveId;
    VersionName Candidate;
    VersionName Baseline;
    std::map<VersionRoute, CallCounters> Counters;
    std::optional<LocalShareLimiter> Reflex;
  };

  MoveObserver(NodeName Self, Incarnation Start)
      : Self(std::move(Self)), Start(Start) {}
  void watch(const ServiceName &Service, const Json &Move,
             const RoutingView &View);
  void lift(const ServiceName &Service, const Watch &Of);

  NodeName Self;
  Incarnation Start;
  std::map<ServiceName, Watch> Watches;
  std::vector<ShareBound> Lifted;
};

} // namespace amaranthward

#endif
