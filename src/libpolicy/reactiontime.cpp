#include "libpolicy/reactiontime.h"

#include <algorithm>
#include <vector>

namespace amaranthward {
namespace {

constexpr Duration Unknown = std::chrono::seconds(1);
constexpr Duration Shortest = std::chrono::milliseconds(500);
constexpr Duration Longest = std::chrono::seconds(3);

} // namespace

void ReactionTime::recordReport(const NodeName &Reporter, Instant Now) {
  auto [Found, IsNew] = this->ByReporter.try_emplace(Reporter);
  Reports &Of = Found->second;
  if (!IsNew)
    Of.Gap = Now - Of.Last;
  Of.Last = Now;
}

Duration ReactionTime::estimate(Duration Latency) const {
  std::vector<Duration> Gaps;
  for (const auto &[Reporter, Of] : this->ByReporter)
    if (Of.Gap > Duration::zero())
      Gaps.push_back(Of.Gap);
  if (Gaps.empty())
    return Unknown;
  // Not the longest one: that of a single node that was suspended.
  auto Upper = Gaps.begin() + static_cast<std::ptrdiff_t>(Gaps.size() * 3 / 4);
  std::nth_element(Gaps.begin(), Upper, Gaps.end());
  return std::clamp(Latency + 2 * *Upper + this->Commit, Shortest, Longest);
}

} // namespace amaranthward
