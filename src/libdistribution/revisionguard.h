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
  /// Nodes whose answers replace the leader's during a source outage.
  std::vector<NodeName> Witnesses;
  /// Answers of witnesses count only this long after the start, when all
  /// revisions under way before it have arrived.
  Duration SettleTime = std::chrono::seconds(4);
  /// The only cluster id accepted; empty accepts the first one seen.
  ClusterId Expected;
};

/// What a witness says about itself.
struct WitnessAnswer {
  ClusterId Cluster;
  Revision InForce;
  /// False until the witness itself has started safely.
  bool Safe = false;
};

/// Decides which revisions may be put in force, and from which one on the
/// entry role may serve after a start without memory.
class RevisionGuard {
public:
  static Result<RevisionGuard> create(RevisionGuardOptions Options,
                                      Instant Started);

  /// Fails with Stale on a lower revision and with Conflict on another
  /// cluster id than the one in force.
  Result<void> mayApply(const ClusterId &Cluster, Revision Next) const;
  /// \a Next is in force now.
  void recordApplied(const ClusterId &Cluster, Revision Next);

  /// The leader's revision, confirmed by a majority after this process
  /// started.
  void recordConfirmed(const ClusterId &Cluster, Revision Current);
  /// Fails with NotFound when \a From is not a named witness.
  Result<void> recordWitnessAnswer(const NodeName &From,
                                   const WitnessAnswer &Answer, Instant Now);
  /// Witnesses that have not yet answered with a safe revision after the
  /// settle time.
  std::vector<NodeName> missingWitnesses() const;

  /// True once the entry role may serve. It never becomes false again.
  bool mayServe() const { return this->Serving; }
  /// Why the entry role waits; empty when it may serve.
  std::string waitReason() const;
  Revision inForce() const { return this->InForce; }
  const ClusterId &cluster() const { return this->Cluster; }

private:
  RevisionGuard(RevisionGuardOptions Options, Instant Started)
      : Options(std::move(Options)), Started(Started) {}
  void updateServing();
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
