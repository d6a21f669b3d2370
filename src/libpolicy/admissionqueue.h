#ifndef AMARANTHWARD_LIBPOLICY_ADMISSIONQUEUE_H
#define AMARANTHWARD_LIBPOLICY_ADMISSIONQUEUE_H

#include "libpolicy/admissioncontrol.h"
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace amaranthward {

/// Calls that wait for a slot, ordered by class, then deadline, then arrival.
class AdmissionQueue {
public:
  struct Waiting {
    CallClass Class = CallClass::Interactive;
    Instant Deadline;
    AdmissionTicket Ticket;
    std::uint32_t Route = 0;
    bool Cancellable = false;

    friend bool operator<(const Waiting &L, const Waiting &R) {
      return std::tie(L.Class, L.Deadline, L.Ticket) <
             std::tie(R.Class, R.Deadline, R.Ticket);
    }
  };

  /// Calls that wait already stay when the capacity becomes smaller.
  void setCapacity(std::uint32_t Calls) { this->Capacity = Calls; }
  /// Whether a call of that class may wait, if need be in place of another.
  bool hasRoom(CallClass Class) const;
  /// Adds a call. When the queue is over its capacity, the last call of the
  /// lowest class is removed and returned.
  std::optional<Waiting> add(const Waiting &One);
  void remove(AdmissionTicket Ticket);
  /// Removes and returns one call whose deadline is at or before \a Until.
  std::optional<Waiting> takeExpired(Instant Until);
  /// Removes and returns the last call of the lowest class.
  std::optional<Waiting> takeLast();
  std::optional<Instant> earliestDeadline() const;

  /// Calls that would start before a new one of that class and deadline.
  std::uint32_t ahead(CallClass Class, Instant Deadline) const;
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
