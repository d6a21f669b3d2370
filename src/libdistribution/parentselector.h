#ifndef AMARANTHWARD_LIBDISTRIBUTION_PARENTSELECTOR_H
#define AMARANTHWARD_LIBDISTRIBUTION_PARENTSELECTOR_H

#include "libcore/units.h"
#include "libdistribution/syncmessages.h"
#include <vector>

namespace amaranthward {

struct ParentSelectorOptions {
  /// Bounds of the back-off after failures, before jitter.
  Duration MinBackOff = std::chrono::milliseconds(50);
  Duration MaxBackOff = std::chrono::seconds(4);
  /// A parent whose state stays older than its child's, or that has had no
  /// contact with the leader, for this time is replaced by the next choice.
  Duration MaxParentLag = std::chrono::seconds(3);
  /// Time after which a child that uses another choice retries its first one.
  Duration ReturnInterval = std::chrono::seconds(10);
  /// Interval, before jitter, at which a node that has parent candidates may
  /// try the control replicas. Prevents a request storm there after an outage.
  Duration ControlInterval = std::chrono::seconds(10);
};

/// Selects the process that a child sends its next request to: its parent
/// candidates in order, then the control replicas, then other roots (data
/// only). Backs off exponentially with jitter after all choices failed.
class ParentSelector {
public:
  struct Choice {
    Endpoint Address;
    bool IsControl = false;
    /// The child may take data from this process but sends it no reports.
    bool DataOnly = false;
    /// The parent candidates failed, so the control leader itself should serve
    /// the child.
    bool Fallback = false;
  };

  /// \param Witnesses Asked for data after the control replicas failed, until
  ///        \a setCandidates names other roots.
  ParentSelector(std::vector<Endpoint> ControlReplicas,
                 const std::vector<ParentCandidate> &Witnesses,
                 ParentSelectorOptions Options, RandomFunction Random);

  /// \param NewOtherRoots Asked for data after the control replicas failed; the
  ///        previous list is kept when it is empty.
  void setCandidates(std::vector<ParentCandidate> NewCandidates,
                     std::vector<ParentCandidate> NewOtherRoots);
  /// Replaces the control replicas; an empty list is ignored.
  void setControl(const std::vector<Endpoint> &Replicas);
  Choice current() const;
  /// The control replica for requests that only the leader can answer.
  Choice control() const;
  /// Records that the current choice failed and advances to the next one.
  /// Returns the time to wait before the next request.
  Duration reportFailure(Instant Now);
  /// Records that the current choice answered with state that is up to date.
  void reportSuccess(Instant Now);
  /// Records that the state of the current choice is older than its child's.
  /// After MaxParentLag this counts as \a reportFailure. Returns the time to
  /// wait before the next request, 0 while the choice is kept.
  Duration reportBehind(Instant Now);
  /// Makes \a Leader the first control replica to ask.
  void setLeaderHint(const Endpoint &Leader);
  /// Records that the replica returned by \a control failed.
  void reportControlFailure();
  bool hasCandidates() const { return !this->Candidates.empty(); }
  const ParentSelectorOptions &options() const { return this->Options; }

private:
  /// Control replicas with the hinted leader first.
  std::vector<Endpoint> controlOrder() const;
  std::size_t choiceCount() const;
  /// A random duration between half of \a MaxDelay and \a MaxDelay.
  Duration jittered(Duration MaxDelay) const;

  std::vector<Endpoint> Control;
  ParentSelectorOptions Options;
  RandomFunction Random;
  std::vector<ParentCandidate> Candidates;
  std::vector<ParentCandidate> OtherRoots;
  Endpoint Leader;
  std::size_t Position = 0;
  std::uint32_t FailedRounds = 0;
  std::optional<Instant> BehindSince;
  Instant FirstChoiceFailedAt;
  Instant NextControlAt;
};

} // namespace amaranthward

#endif
