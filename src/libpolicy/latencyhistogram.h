#ifndef AMARANTHWARD_LIBPOLICY_LATENCYHISTOGRAM_H
#define AMARANTHWARD_LIBPOLICY_LATENCYHISTOGRAM_H

#include "libcore/json.h"
#include "libcore/units.h"
#include <array>
#include <cstdint>

namespace amaranthward {

/// Counts of latencies in logarithmically spaced buckets, four per octave.
/// Bucket 0 holds everything below 64 us, the last one everything above 134 s.
class LatencyHistogram {
public:
  static constexpr std::size_t Buckets = 86;

  static std::size_t bucketOf(Duration Latency);
  /// Lowest latency of \a Bucket.
  static Duration lowerEdge(std::size_t Bucket);

  void add(Duration Latency, std::uint64_t Count = 1);
  void add(const LatencyHistogram &Other);
  /// Raises each bucket to the count in \a Other where that is more.
  void raiseTo(const LatencyHistogram &Other);

  /// What was added after \a Before; a bucket that fell counts as unchanged.
  LatencyHistogram since(const LatencyHistogram &Before) const;
  /// Raises to \a Newest and returns what that added.
  LatencyHistogram advance(const LatencyHistogram &Newest);
  void halve();

  std::uint64_t at(std::size_t Bucket) const { return this->Counts[Bucket]; }
  std::uint64_t total() const;
  /// Number of latencies in \a Bucket and above.
  std::uint64_t countFrom(std::size_t Bucket) const;
  /// First bucket such that at most \a Part of all latencies are in it or
  /// above; \a Buckets when there is none.
  std::size_t bucketAbove(double Part) const;

  /// [index, count, index, count, ...] of the buckets that are not empty.
  Json toJson() const;
  static Result<LatencyHistogram> fromJson(const Json &Value);

  friend bool operator==(const LatencyHistogram &,
                         const LatencyHistogram &) = default;

private:
  std::array<std::uint64_t, Buckets> Counts = {};
};

} // namespace amaranthward

#endif
