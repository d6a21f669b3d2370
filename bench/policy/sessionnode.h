#ifndef AMARANTHWARD_BENCH_POLICY_SESSIONNODE_H
#define AMARANTHWARD_BENCH_POLICY_SESSIONNODE_H

#include "libpolicy/localsharelimiter.h"
#include <map>
#include <vector>

namespace amaranthward {

/// A decision on its way to a node.
struct SentDecision {
  Revision Decided;
  /// Counts the moves; counters start anew with each.
  std::uint64_t Move = 0;
  Share Candidate;
};

/// Stand-in of a node: divides calls between two versions, counts outcomes
/// and reduces the candidate's share on its own.
class SessionNode {
public:
  SessionNode(std::string Name, const std::vector<RouteName> &Routes,
              bool HasReflex);

  Share share() const;
  bool rejects() const { return this->HasReflex && this->Reflex.rejects(); }
  void count(std::size_t Route, bool IsCandidate, bool Failed,
             Duration Latency);
  void receive(const SentDecision &Newest);
  void reflect(Instant Now);
  std::vector<Observation> report() const;
  const std::map<RouteName, RouteTotals> &totals() const {
    return this->Totals;
  }

  static const ServiceName &service();
  static const VersionName &baseline();
  static const VersionName &candidate();

private:
  NodeName Name;
  std::vector<RouteName> Routes;
  bool HasReflex;
  LocalShareLimiter Reflex;
  SentDecision Followed;
  std::map<RouteName, RouteTotals> Totals;
  std::vector<RouteTotals *> ByRoute;
};

} // namespace amaranthward

#endif
