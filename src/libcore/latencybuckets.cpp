#include "libcore/latencybuckets.h"

#include <algorithm>
#include <numeric>

namespace amaranthward {

void LatencyBuckets::add(Duration Latency) {
  ++this->Count;
  this->Sum += Latency;
  auto Found = std::find_if(Bounds.begin(), Bounds.end(), [Latency](int Each) {
    return Latency <= std::chrono::milliseconds(Each);
  });
  if (Found != Bounds.end())
    ++this->Counts[static_cast<std::size_t>(Found - Bounds.begin())];
}

std::uint64_t LatencyBuckets::upTo(std::size_t Index) const {
  auto End = this->Counts.begin() + static_cast<std::ptrdiff_t>(Index) + 1;
  return std::accumulate(this->Counts.begin(), End, std::uint64_t(0));
}

double LatencyBuckets::sumSeconds() const {
  return std::chrono::duration<double>(this->Sum).count();
}

} // namespace amaranthward
