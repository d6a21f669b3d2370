#include "libcore/eventlimiter.h"

#include <utility>

namespace amaranthward {

void EventLimiter::startSecond(Instant Now) {
  auto Current =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  if (Current == this->Second)
    return;
  this->Second = Current;
  for (const auto &[Event, One] : this->Counts)
    if (One.Suppressed > 0)
      this->Over.push_back({Event, One.Suppressed});
  this->Counts.clear();
}

bool EventLimiter::admit(const std::string &Event, Instant Now) {
  this->startSecond(Now);
  Count &One = this->Counts[Event];
  if (One.Admitted >= this->LinesPerSecond) {
    ++One.Suppressed;
    return false;
  }
  ++One.Admitted;
  return true;
}

std::vector<EventLimiter::Suppressed>
EventLimiter::takeSuppressed(Instant Now) {
  this->startSecond(Now);
  return std::exchange(this->Over, {});
}

} // namespace amaranthward
