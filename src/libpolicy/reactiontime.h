#ifndef AMARANTHWARD_LIBPOLICY_REACTIONTIME_H
#define AMARANTHWARD_LIBPOLICY_REACTIONTIME_H

#include "libcore/ids.h"
#include "libcore/units.h"
#include <map>

namespace amaranthward {

/// Measures how long it takes until a decision that rests on a candidate's
/// answer is in force at the nodes: the call itself, the way of the report to
/// the leader, the commit, and the way back, which is taken to be as long.
class ReactionTime {
public:
  /// A report of \a Reporter has arrived.
  void recordReport(const NodeName &Reporter, Instant Now);
  /// A decision has been committed \a Took after it was proposed.
  void recordCommit(Duration Took) { this->Commit = Took; }

  /// \a Latency is the mean latency of the calls. Between 0.5 and 3 s; 1 s
  /// while no node has reported twice.
  Duration estimate(Duration Latency) const;

private:
  struct Reports {
    Instant Last;
    Duration Gap = Duration::zero();
  };

  std::map<NodeName, Reports> ByReporter;
  Duration Commit = Duration::zero();
};

} // namespace amaranthward

#endif
