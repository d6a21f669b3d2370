#include "libpolicy/coldratelimiter.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr Duration Window = std::chrono::seconds(1);

} // namespace

void ColdRateLimiter::declare(Duration ColdFor, double CallsPerSecond,
                              Instant Now) {
  this->ColdUntil = Now + ColdFor;
  this->MaxStartsPerSecond = 0;
  if (CallsPerSecond > 0)
    this->MaxStartsPerSecond =
        std::max(1U, static_cast<std::uint32_t>(CallsPerSecond));
}

bool ColdRateLimiter::mayStart(Instant Now) const {
  if (this->MaxStartsPerSecond == 0 || !this->isCold(Now))
    return true;
  return !this->nextStart(Now);
}

void ColdRateLimiter::recordStart(Instant Now) {
  this->Recent.push_back(Now);
  while (this->Recent.front() + Window <= Now)
    this->Recent.pop_front();
}

std::optional<Instant> ColdRateLimiter::nextStart(Instant Now) const {
  if (this->MaxStartsPerSecond == 0 || !this->isCold(Now))
    return std::nullopt;
  Instant Earliest = this->StartsKnownSince + Window;
  // This start must have left the window before the next call starts.
  if (this->Recent.size() >= this->MaxStartsPerSecond)
    Earliest = std::max(
        Earliest,
        this->Recent[this->Recent.size() - this->MaxStartsPerSecond] + Window);
  if (Earliest <= Now)
    return std::nullopt;
  return std::min(Earliest, this->ColdUntil);
}

} // namespace amaranthward
