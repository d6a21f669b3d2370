#ifndef AMARANTHWARD_LIBCORE_LATENCYBUCKETS_H
#define AMARANTHWARD_LIBCORE_LATENCYBUCKETS_H

#include "libcore/units.h"
#include <array>
#include <cstdint>

namespace amaranthward {

/// Latencies counted in the buckets that the metrics address serves.
class LatencyBuckets {
public:
  /// Upper bounds in milliseconds; they include usual objectives of routes.
  static constexpr std::array<int, 17> Bounds = {
      1,   2,   5,   10,  25,   50,   100,  120, 200,
      300, 400, 500, 800, 1000, 1200, 2500, 5000};

  void add(Duration Latency);
  /// Latencies at most as long as Bounds[Index].
  std::uint64_t upTo(std::size_t Index) const;
  std::uint64_t count() const { return this->Count; }
  double sumSeconds() const;

private:
  std::array<std::uint64_t, Bounds.size()> Counts = {};
  std::uint64_t Count = 0;
  Duration Sum{0};
};

} // namespace amaranthward

#endif
