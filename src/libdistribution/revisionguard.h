#ifndef AMARANTHWARD_LIBDISTRIBUTION_REVISIONGUARD_H
#define AMARANTHWARD_LIBDISTRIBUTION_REVISIONGUARD_H

#include "libcore/ids.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

struct RevisionGuardOptions {
  /// Nodes whose answers are used in place of the leader's confirmation while
  /// no leader is reachable (source outage).
  std::vector<NodeName> Witnesses;
  /// Witness answers are ignored for this time after the start, so that
  /// revisions in flight before the start have reached the witnesses.
  Duration SettleTime = std::chrono::seconds(4);
  /// The only cluster id accepted; empty accepts the first one seen.
  ClusterId Expected;
};

/// The state that a witness reports about itself.
struct WitnessAnswer {
  ClusterId Cluster;
  Revision InForce;
  /// False until the witness's own entry role may serve.
  bool Safe = false;
};

/// Decides which revisions may be put in force, and when the entry role may
/// serve after a start. A node keeps no revision across restarts, so the guard
/// waits until the revision in force is at least the one that the leader has
/// confirmed or, without a leader, the highest one among the answers of all
/// witnesses.
class RevisionGuard {
public:
  /// Fails with InvalidArgument on a duplicate witness.
  static Result<RevisionGuard> create(RevisionGuardOptions Options,
                                      Instant Started);

  /// Fails with Stale on a revision below the one in force, with Conflict on a
  /// different cluster id, and with InvalidArgument on an empty one.
  Result<void> mayApply(const ClusterId &Cluster, Revision Next) const;
  /// Records that \a Next is in force.
  void recordApplied(const ClusterId &Cluster, Revision Next);

  /// Records the leader's revision, confirmed by a majority after this process
  /// started.
  void recordConfirmed(const ClusterId &Cluster, Revision Current);
  /// Records the answer of a witness. Answers that are not safe, without a
  /// cluster id or before the settle time are ignored. Fails with NotFound when
  /// \a From is not one of the configured witnesses.
  Result<void> recordWitnessAnswer(const NodeName &From,
                                   const WitnessAnswer &Answer, Instant Now);
  /// Witnesses without a recorded answer.
  std::vector<NodeName> missingWitnesses() const;

  /// True once the entry role may serve; never reset.
  bool mayServe() const { return this->Serving; }
  /// The reason why the entry role may not serve yet; empty when it may.
  std::string waitReason() const;
  Revision inForce() const { return this->InForce; }
  const ClusterId &cluster() const { return this->Cluster; }

private:
  RevisionGuard(RevisionGuardOptions Options, Instant Started)
      : Options(std::move(Options)), Started(Started) {}
  void updateServing();
  /// The lowest revision that the entry role may serve. Fails with Unavailable
  /// while it is unknown and with Conflict on different cluster ids.
  Result<Revision> safeRevision() const;

  RevisionGuardOptions Options;
  Instant Started;
  ClusterId Cluster;
  Revision InForce;
  std::optional<std::pair<ClusterId, Revision>> Confirmed;
  std::map<NodeName, WitnessAnswer> Answers;
  bool Serving = false;
};

} // namespace amaranthward

#endif
