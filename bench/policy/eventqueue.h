#ifndef AMARANTHWARD_BENCH_POLICY_EVENTQUEUE_H
#define AMARANTHWARD_BENCH_POLICY_EVENTQUEUE_H

#include "libcore/units.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace amaranthward {

/// Virtual time: runs actions in the order of their times, and actions of the
/// same time in the order in which they were added.
class EventQueue {
public:
  using Action = std::function<void()>;

  Instant now() const { return this->Time; }
  void at(Instant When, Action Do) {
    this->Events.push(
        {std::max(When, this->Time), this->Next++, std::move(Do)});
  }
  void after(Duration Delay, Action Do) {
    this->at(this->Time + Delay, std::move(Do));
  }
  void runUntil(Instant End) {
    while (!this->Events.empty() && this->Events.top().When <= End) {
      Event First = this->Events.top();
      this->Events.pop();
      this->Time = First.When;
      First.Do();
    }
    this->Time = End;
  }

private:
  struct Event {
    Instant When;
    std::uint64_t Order = 0;
    Action Do;
    bool operator<(const Event &Other) const {
      return std::tie(Other.When, Other.Order) <
             std::tie(this->When, this->Order);
    }
  };
  std::priority_queue<Event> Events;
  Instant Time;
  std::uint64_t Next = 0;
};

} // namespace amaranthward

#endif
