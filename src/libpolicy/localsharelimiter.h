#ifndef AMARANTHWARD_LIBPOLICY_LOCALSHARELIMITER_H
#define AMARANTHWARD_LIBPOLICY_LOCALSHARELIMITER_H

#include "libcore/ids.h"
#include "libpolicy/versionanalysis.h"
#include <map>

namespace amaranthward {

/// A node's own reduction of an unproven version's share. It only ever lowers
/// the share that the leader decided, on what this node has seen itself, and
/// ends when a newer decision of the leader arrives. A version that is bad gets
/// no share; one that is suspect gets half of all calls at most.
class LocalShareLimiter {
public:
  static Result<LocalShareLimiter> create(const std::vector<RouteName> &Routes,
                                          AnalysisOptions Options = {});

  /// Takes the leader's decision in force at this node. A higher \a Decided
  /// releases the reduction; the same or a lower one changes nothing.
  void follow(Revision Decided, Share Leaders);

  /// Takes this node's own cumulative counters. Returns whether the share has
  /// been lowered by this step.
  bool step(Instant Now, const std::map<RouteName, RouteTotals> &Own);

  /// Share to use; never more than the leader's.
  Share share() const;
  /// Whether this node's own evidence shows that the version is bad.
  bool rejects() const { return this->Limit == Share::none(); }
  bool isReduced() const { return this->share() < this->Leaders; }
  const AnalysisVerdict &verdict() const { return this->Analysis.verdict(); }

private:
  explicit LocalShareLimiter(VersionAnalysis Analysis);

  VersionAnalysis Analysis;
  Revision Followed;
  Share Leaders;
  /// The most that this node gives the version.
  Share Limit = Share::all();
};

} // namespace amaranthward

#endif
