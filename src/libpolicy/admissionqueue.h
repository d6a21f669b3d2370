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

/// Calls that wait for a slot, ordered by class, rank, the time by which they
/// should be answered, and arrival.
class AdmissionQueue {
public:
  struct Waiting {
    CallClass Class = CallClass::Interactive;
    Instant Deadline;
    AdmissionTicket Ticket;
    std::uint32_t Route = 0;
    bool Cancellable = false;
    std::uint32_t Rank = 0;
    /// See AdmissionRequest::Objective.
    Instant Objective = Instant::max();

    Instant due() const { return std::min(this->Objective, this->Deadline); }
    bool hasObjective() const { return this->Objective != Instant::max(); }
    bool sameGroup(const Waiting &Other) const {
      return this->Class == Other.Class && this->Rank == Other.Rank;
    }
    friend bool operator<(const Waiting &L, const Waiting &R) {
      return std::tuple(L.Class, L.Rank, L.due(), L.Ticket) <
             std::tuple(R.Class, R.Rank, R.due(), R.Ticket);
    }
  };
  using NeededTime = std::function<Duration(const Waiting &)>;

  /// Calls that wait already stay when the capacity becomes smaller.
  void setCapacity(std::uint32_t Calls) { this->Capacity = Calls; }
  /// Whether a call of that class may wait, if need be in place of another.
  bool hasRoom(CallClass Class, std::uint32_t Rank = 0) const;
  /// Adds a call. When the queue is over its capacity, the last call of the
  /// lowest class is removed and returned.
  std::optional<Waiting> add(const Waiting &One);
  /// The removed call; none when it does not wait.
  std::optional<Waiting> remove(AdmissionTicket Ticket);
  /// Removes and returns one call that would end after its deadline if it
  /// started now.
  std::optional<Waiting> takeHopeless(Instant Now, const NeededTime &Needed);
  /// Removes and returns the last call of the lowest class.
  std::optional<Waiting> takeLast();
  /// When the first waiting call becomes hopeless.
  std::optional<Instant> nextHopeless(const NeededTime &Needed) const;

  /// The call to start next, or none. In the first class and rank that has
  /// calls, a route that got clearly less than another goes first. Within a
  /// route, a call that can still meet its objective goes before those that
  /// cannot: otherwise a backlog makes every call late.
  std::optional<Waiting> next(Instant Now, const NeededTime &Needed,
                              const RouteShares &Shares) const;

  /// Calls that would start before \a One.
  std::uint32_t ahead(const Waiting &One) const;
  /// The same, counting only calls of its route.
  std::uint32_t aheadOnRoute(const Waiting &One) const;
  std::uint32_t count(CallClass Class) const {
    return this->Counts[static_cast<std::size_t>(Class)];
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(this->Calls.size());
  }
  const std::set<Waiting> &calls() const { return this->Calls; }
  void take(const Waiting &One);

private:
  std::set<Waiting> Calls;
  std::uint32_t Capacity = 0;
  std::uint32_t Counts[3] = {0, 0, 0};
};

} // namespace amaranthward

#endif
