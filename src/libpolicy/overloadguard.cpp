#include "libpolicy/overloadguard.h"

namespace amaranthward {

bool OverloadGuard::isOverloaded(Instant Now) const {
  return this->LastRefusal && Now - *this->LastRefusal < OverloadTimeout;
}

bool OverloadGuard::mayWait(std::uint32_t Route, Duration Wait,
                            Duration MaxWait, Instant Now) {
  if (this->RefusedRoutes.size() <= Route)
    this->RefusedRoutes.resize(Route + 1);
  if (!this->isOverloaded(Now)) {
    this->RefusedRoutes[Route] = false;
    return true;
  }
  this->RefusedRoutes[Route] =
      Wait > (this->RefusedRoutes[Route] ? MaxWait / ReopenDivisor : MaxWait);
  if (this->RefusedRoutes[Route])
    this->LastRefusal = Now;
  return !this->RefusedRoutes[Route];
}

} // namespace amaranthward
