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
  Duration MaxBehind = std::chrono::seconds(3);
  /// How often a child returns to its first choice.
  Duration ReturnInterval = std::chrono::seconds(10);
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

  ParentSelector(std::vector<Endpoint> ControlReplicas,
                 ParentSelectorOptions Options, RandomFunction Random);

  /// \param OtherRoots Tried for data after the control replicas failed.
  void setCandidates(std::vector<ParentCandidate> NewCandidates,
                     std::vector<ParentCandidate> NewOtherRoots, Instant Now);
  Choice current() const;
  /// The current choice failed; returns the time to wait before the next one
  /// is asked.
  Duration failed(Instant Now);
  /// The current choice gave a useful answer.
  void succeeded(Instant Now);
  /// The current choice answers but is behind or cut off from the leader.
  /// Returns true when the child should ask the next one.
  bool behind(Instant Now);
  void leaderHint(const Endpoint &Leader);
  bool hasCandidates() const { return !this->Candidates.empty(); }

private:
  std::size_t choices() const;
  bool onFirstChoice() const { return this->Position == 0; }

  std::vector<Endpoint> Control;
  ParentSelectorOptions Options;
  RandomFunction Random;
  std::vector<ParentCandidate> Candidates;
  std::vector<ParentCandidate> OtherRoots;
  Endpoint Leader;
  std::size_t Position = 0;
  std::size_t ControlPosition = 0;
  std::uint32_t FailedRounds = 0;
  std::optional<Instant> BehindSince;
  std::optional<Instant> LeftFirstAt;
};

} // namespace amaranthward

#endif
