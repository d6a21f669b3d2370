#ifndef AMARANTHWARD_LIBPOLICY_LOCALSHARELIMITER_H
#define AMARANTHWARD_LIBPOLICY_LOCALSHARELIMITER_H

#include "libcore/ids.h"
#include "libpolicy/versionanalysis.h"
#include <map>

namespace amaranthward {

/// Lowers the share of an unproven version on one node, based on the calls of
/// this node alone, so that a node protects itself without waiting for the
/// leader. A bad version gets no calls, a suspect one at most half of them. The
/// share never exceeds the leader's, and a newer decision of the leader ends
/// the reduction.
class LocalShareLimiter {
public:
  /// Fails as VersionAnalysis::create() does.
  static Result<LocalShareLimiter> create(const std::vector<RouteName> &Routes,
                                          AnalysisOptions Options = {});

  /// Applies the leader's decision of revision \a Decided. A higher revision
  /// than before ends the reduction and restarts the analysis of the candidate;
  /// the same or a lower one changes nothing.
  void follow(Revision Decided, Share LeaderShare);

  /// Evaluates this node's cumulative counters. Returns whether this step has
  /// lowered the share.
  bool step(Instant Now, const std::map<RouteName, RouteTotals> &OwnTotals);

  /// Share to use; at most the leader's, and none before the first decision.
  Share share() const;
  /// Whether the calls of this node show that the version is bad.
  bool rejects() const { return this->Limit == Share::none(); }
  /// Whether the share is lower than the leader's.
  bool isReduced() const { return this->share() < this->LeaderShare; }
  const AnalysisVerdict &verdict() const { return this->Analysis.verdict(); }

private:
  explicit LocalShareLimiter(VersionAnalysis Analysis);

  VersionAnalysis Analysis;
  /// Revision and share of the leader's last decision.
  Revision DecidedRevision;
  Share LeaderShare;
  /// Upper limit from this node's own evidence.
  Share Limit = Share::all();
};

} // namespace amaranthward

#endif
