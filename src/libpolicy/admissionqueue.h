#ifndef AMARANTHWARD_LIBPOLICY_ADMISSIONQUEUE_H
#define AMARANTHWARD_LIBPOLICY_ADMISSIONQUEUE_H

#include "libpolicy/admissioncontrol.h"
#include "libpolicy/routeshares.h"
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <tuple>

namespace amaranthward {

/// Calls that wait for a slot, ordered by class, rank, due time (the earlier of
/// objective and deadline) and arrival.
class AdmissionQueue {
public:
  struct Waiting {
    CallClass Class = CallClass::Interactive;
    Instant Deadline;
    AdmissionTicket Ticket;
    /// Index of the route at this gate.
    std::uint32_t Route = 0;
    bool Cancellable = false;
    std::uint32_t Rank = 0;
    /// See AdmissionRequest::Objective.
    Instant Objective = Instant::max();

    Instant due() const { return std::min(this->Objective, this->Deadline); }
    bool hasObjective() const { return this->Objective != Instant::max(); }
    bool hasSamePriority(const Waiting &Other) const {
      return this->Class == Other.Class && this->Rank == Other.Rank;
    }
    friend bool operator<(const Waiting &Left, const Waiting &Right) {
      return std::tuple(Left.Class, Left.Rank, Left.due(), Left.Ticket) <
             std::tuple(Right.Class, Right.Rank, Right.due(), Right.Ticket);
    }
  };
  /// Returns the estimated service time of a call at the upstream.
  using RequiredTimeFunction = std::function<Duration(const Waiting &)>;

  /// Sets the maximum number of waiting calls. When it becomes smaller, calls
  /// that already wait stay in the queue.
  void setCapacity(std::uint32_t Calls) { this->Capacity = Calls; }
  /// Whether a call of this class and rank may wait. In a full queue it may
  /// when the last call has a lower priority, which add() then removes.
  bool hasRoom(CallClass Class, std::uint32_t Rank = 0) const;
  /// Adds a call. When that exceeds the capacity, the last call in queue order
  /// is removed and returned.
  std::optional<Waiting> add(const Waiting &Call);
  /// Removes a call and returns it; none when it is not in the queue.
  std::optional<Waiting> remove(AdmissionTicket Ticket);
  /// Removes and returns one infeasible call, which would end after its
  /// deadline even if it started now; none when there is none.
  std::optional<Waiting>
  takeInfeasible(Instant Now, const RequiredTimeFunction &RequiredTime);
  /// Removes and returns the last call in queue order; none when empty.
  std::optional<Waiting> takeLast();
  /// Earliest time at which a waiting call becomes infeasible; none when empty.
  std::optional<Instant>
  nextInfeasible(const RequiredTimeFunction &RequiredTime) const;

  /// The call to start next; none when empty. It is taken from the first class
  /// and rank that has calls, where a route that is behind its share (see
  /// RouteShares) goes first. A call that can still meet its objective goes
  /// before those that cannot: otherwise a backlog would make every call late.
  std::optional<Waiting> next(Instant Now,
                              const RequiredTimeFunction &RequiredTime,
                              const RouteShares &Shares) const;

  /// Number of queued calls ordered before \a Call, which need not be queued.
  std::uint32_t countAhead(const Waiting &Call) const;
  /// Like countAhead(), but counts only calls of the same route.
  std::uint32_t countAheadOnRoute(const Waiting &Call) const;
  std::uint32_t count(CallClass Class) const {
    return this->Counts[static_cast<std::size_t>(Class)];
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->Calls.size());
  }
  const std::set<Waiting> &calls() const { return this->Calls; }
  /// Removes a call; no effect when it is not in the queue.
  void take(const Waiting &Call);

private:
  std::set<Waiting> Calls;
  std::uint32_t Capacity = 0;
  /// Number of waiting calls, indexed by CallClass.
  std::uint32_t Counts[3] = {0, 0, 0};
};

} // namespace amaranthward

#endif
