#include "libpolicy/coldrate.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr Duration Window = std::chrono::seconds(1);

} // namespace

void ColdRate::declare(Duration For, double CallsPerSecond, Instant Now) {
  this->ColdUntil = Now + For;
  this->Bound = 0;
  if (CallsPerSecond > 0)
    this->Bound = std::max(1U, static_cast<std::uint32_t>(CallsPerSecond));
}

bool ColdRate::mayStart(Instant Now) const {
  if (this->Bound == 0 || !this->isCold(Now))
    return true;
  return !this->nextStart(Now);
}

void ColdRate::started(Instant Now) {
  this->Recent.push_back(Now);
  while (this->Recent.front() + Window <= Now)
    this->Recent.pop_front();
}

std::optional<Instant> ColdRate::nextStart(Instant Now) const {
  if (this->Bound == 0 || !this->isCold(Now))
    return std::nullopt;
  Instant Free = this->KnownSince + Window;
  // The call that must have left the window before the next one starts.
  if (this->Recent.size() >= this->Bound)
    Free = std::max(Free,
                    this->Recent[this->Recent.size() - this->Bound] + Window);
  if (Free <= Now)
    return std::nullopt;
  return std::min(Free, this->ColdUntil);
}

} // namespace amaranthward
