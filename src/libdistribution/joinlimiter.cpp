#include "libdistribution/joinlimiter.h"

#include <algorithm>

namespace amaranthward {

std::optional<Duration> JoinLimiter::admit(Instant Now,
                                           const RandomFunction &Random) {
  constexpr Duration Window = std::chrono::seconds(1);
  const std::uint32_t Limit = std::max(this->Options.JoinsPerSecond, 1U);
  if (!this->Started || Now - this->WindowStart >= Window) {
    // Refused children are assumed to retry at the admitted rate.
    const auto Passed =
        this->Started ? (Now - this->WindowStart) / Window : std::int64_t(0);
    const std::uint64_t Returned = static_cast<std::uint64_t>(Passed) * Limit;
    this->Waiting -= std::min(this->Waiting, Returned);
    this->WindowStart =
        this->Started ? this->WindowStart + Passed * Window : Now;
    this->Started = true;
    this->Admitted = 0;
  }
  if (this->Admitted < Limit) {
    ++this->Admitted;
    return std::nullopt;
  }
  const Duration ToNextWindow = this->WindowStart + Window - Now;
  const Duration Queue = Window * (this->Waiting / Limit);
  const Duration Jitter(Random() % static_cast<std::uint64_t>(Window.count()));
  ++this->Waiting;
  return std::min(ToNextWindow + Queue + Jitter, this->Options.MaxRetryAfter);
}

} // namespace amaranthward
