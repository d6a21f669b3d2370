#ifndef AMARANTHWARD_LIBDISTRIBUTION_PARENTSELECTOR_H
#define AMARANTHWARD_LIBDISTRIBUTION_PARENTSELECTOR_H

#include "libcore/units.h"
#include "libdistribution/syncmessages.h"
#include <vector>

namespace amaranthward {

struct ParentSelectorOptions {
  Duration MinBackOff = std::chrono::milliseconds(50);
  Duration MaxBackOff = std::chrono::seconds(4);
  /// A parent that stays behind its child, or that has not heard from the
  /// leader, for this time is given up.
  Duration MaxParentLag = std::chrono::seconds(3);
  /// When a child that uses another candidate tries its first choice again.
  Duration ReturnInterval = std::chrono::seconds(10);
  /// Mean time between two attempts of a node that has candidates to reach a
  /// control replica, so that an outage does not end in a storm.
  Duration ControlInterval = std::chrono::seconds(10);
};

/// Which process a child asks next: its candidates in order, then the control
/// replicas, with jittered exponential back-off after a whole round failed.
class ParentSelector {
public:
  struct Choice {
    Endpoint Address;
    bool IsControl = false;
    /// Only data may be taken from this process, and nothing passed to it.
    bool DataOnly = false;
    /// The candidates failed, and the control leader should serve the child.
    bool Fallback = false;
  };

  /// \param Witnesses Tried for data after the control replicas failed.
  ParentSelector(std::vector<Endpoint> ControlReplicas,
                 const std::vector<ParentCandidate> &Witnesses,
                 ParentSelectorOptions Options, RandomFunction Random);

  /// \param NewOtherRoots Tried for data after the control replicas failed;
  ///        the witnesses stay when it is empty.
  void setCandidates(std::vector<ParentCandidate> NewCandidates,
                     std::vector<ParentCandidate> NewOtherRoots);
  /// Replaces the control replicas; ignored when there is none.
  void setControl(const std::vector<Endpoint> &Replicas);
  Choice current() const;
  /// The control replica to ask for what only the leader knows.
  Choice control() const;
  /// The current choice failed; returns the time to wait before the next one
  /// is asked.
  Duration reportFailure(Instant Now);
  /// The current choice gave a useful answer.
  void reportSuccess(Instant Now);
  /// The current choice has less than its child. Given up, as with
  /// \a reportFailure, when that lasts.
  Duration reportBehind(Instant Now);
  void setLeaderHint(const Endpoint &Leader);
  /// The control replica that was asked with \a control failed.
  void reportControlFailure();
  bool hasCandidates() const { return !this->Candidates.empty(); }
  const ParentSelectorOptions &options() const { return this->Options; }

private:
  std::vector<Endpoint> controlOrder() const;
  std::size_t choiceCount() const;
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
