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

  /// Bucket that counts \a Latency.
  static std::size_t bucketOf(Duration Latency);
  /// Lowest latency that \a Bucket counts.
  static Duration lowerEdge(std::size_t Bucket);

  void add(Duration Latency, std::uint64_t Count = 1);
  void add(const LatencyHistogram &Other);
  /// Raises each bucket to the count in \a Other where that is higher.
  void raiseTo(const LatencyHistogram &Other);

  /// The increase since \a Before; zero for a bucket that has decreased.
  LatencyHistogram since(const LatencyHistogram &Before) const;
  /// Raises each bucket to the count in \a Newest where that is higher, and
  /// returns the increase.
  LatencyHistogram advance(const LatencyHistogram &Newest);
  /// Halves all counts, rounded down.
  void halve();

  /// Number of latencies in \a Bucket, which must be below Buckets.
  std::uint64_t at(std::size_t Bucket) const { return this->Counts[Bucket]; }
  std::uint64_t total() const;
  /// Number of latencies in \a Bucket and above.
  std::uint64_t countFrom(std::size_t Bucket) const;
  /// First bucket such that at most the fraction \a Fraction (0 to 1) of all
  /// latencies is in it and the buckets above; Buckets when there is none.
  std::size_t bucketAbove(double Fraction) const;

  /// Array [index, count, index, count, ...] of the buckets that are not empty.
  Json toJson() const;
  /// Fails with InvalidArgument on anything but such pairs, an index out of
  /// range or a count above 2^48.
  static Result<LatencyHistogram> fromJson(const Json &Value);

  friend bool operator==(const LatencyHistogram &,
                         const LatencyHistogram &) = default;

private:
  std::array<std::uint64_t, Buckets> Counts = {};
};

} // namespace amaranthward

#endif
