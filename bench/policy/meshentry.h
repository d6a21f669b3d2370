#ifndef AMARANTHWARD_BENCH_POLICY_MESHENTRY_H
#define AMARANTHWARD_BENCH_POLICY_MESHENTRY_H

#include "libpolicy/retrybudget.h"
#include "libpolicy/retrydecision.h"
#include "meshexperiment.h"
#include <memory>

namespace amaranthward {

/// An upstream with its gate, as the entries of a simulated mesh reach it.
struct MeshUpstream {
  UpstreamCandidate Candidate;
  std::unique_ptr<SimulatedGate> Gate;
  bool Refuses = false;
};

/// Figures of one attempt for the entry's experiment.
struct MeshHooks {
  std::function<void(bool OwnZone)> OnAttempt;
  std::function<void(MeshUpstream &)> OnArrival;
};

/// The entry role of one simulated node: chooses, sends and retries.
class MeshEntry {
public:
  using Done = std::function<void(bool Answered)>;

  MeshEntry(EventQueue &Events, const MeshExperiment &Plan, ZoneName Zone,
            std::vector<MeshUpstream> &Upstreams, MeshHooks Hooks,
            RandomFunction Random);

  void setOutOfService(const std::set<ZoneName> &Zones);
  void call(const SimulatedCall &Call, bool Idempotent, Done OnDone);

private:
  struct Pending {
    SimulatedCall Call;
    bool Idempotent = false;
    Done OnDone;
    std::uint32_t Attempts = 0;
    std::vector<UpstreamHandle> Tried;
  };
  using PendingCall = std::shared_ptr<Pending>;

  void attempt(const PendingCall &Call);
  void send(const PendingCall &Call, MeshUpstream &To, UpstreamHandle Handle);
  void ended(const PendingCall &Call, UpstreamHandle Handle,
             AttemptResult Result, Instant Start);
  MeshUpstream *nextTarget(const PendingCall &Call, UpstreamHandle &Handle);
  Duration distance(const MeshUpstream &To) const;

  EventQueue &Events;
  MeshExperiment Plan;
  ZoneName Zone;
  std::vector<MeshUpstream> &Upstreams;
  MeshHooks Hooks;
  UpstreamSelector Choice;
  RetryBudget Budget;
  std::set<ZoneName> OutOfService;
  std::size_t Next = 0;
};

} // namespace amaranthward

#endif
