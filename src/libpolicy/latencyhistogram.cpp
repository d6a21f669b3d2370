#include "libpolicy/latencyhistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace amaranthward {
namespace {

/// Upper edge of bucket 0 and lower edge of bucket 1, in microseconds.
constexpr double FirstEdgeMicros = 64;
constexpr double BucketsPerOctave = 4;
/// Limit on a received count; keeps sums over up to 65,536 reporters within 64
/// bits.
constexpr std::uint64_t MaxCount = std::uint64_t(1) << 48;

using Edges = std::array<Duration::rep, LatencyHistogram::Buckets>;

Edges computeEdges() {
  Edges All = {};
  for (std::size_t Bucket = 1; Bucket < All.size(); ++Bucket) {
    double Octaves = static_cast<double>(Bucket - 1) / BucketsPerOctave;
    All[Bucket] = std::llround(FirstEdgeMicros * std::exp2(Octaves));
  }
  return All;
}

const Edges &edges() {
  static const Edges All = computeEdges();
  return All;
}

} // namespace

std::size_t LatencyHistogram::bucketOf(Duration Latency) {
  const Edges &All = edges();
  auto Above = std::upper_bound(All.begin() + 1, All.end(), Latency.count());
  return static_cast<std::size_t>(Above - All.begin()) - 1;
}

Duration LatencyHistogram::lowerEdge(std::size_t Bucket) {
  return Duration(edges()[std::min(Bucket, Buckets - 1)]);
}

void LatencyHistogram::add(Duration Latency, std::uint64_t Count) {
  this->Counts[bucketOf(Latency)] += Count;
}

void LatencyHistogram::add(const LatencyHistogram &Other) {
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    this->Counts[Bucket] += Other.Counts[Bucket];
}

void LatencyHistogram::raiseTo(const LatencyHistogram &Other) {
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    this->Counts[Bucket] = std::max(this->Counts[Bucket], Other.Counts[Bucket]);
}

LatencyHistogram LatencyHistogram::since(const LatencyHistogram &Before) const {
  LatencyHistogram Difference;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    if (this->Counts[Bucket] > Before.Counts[Bucket])
      Difference.Counts[Bucket] = this->Counts[Bucket] - Before.Counts[Bucket];
  return Difference;
}

LatencyHistogram LatencyHistogram::advance(const LatencyHistogram &Newest) {
  LatencyHistogram Added;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    std::uint64_t Before = this->Counts[Bucket];
    std::uint64_t After = std::max(Before, Newest.Counts[Bucket]);
    Added.Counts[Bucket] = After - Before;
    this->Counts[Bucket] = After;
  }
  return Added;
}

void LatencyHistogram::halve() {
  for (std::uint64_t &Count : this->Counts)
    Count /= 2;
}

std::uint64_t LatencyHistogram::total() const { return this->countFrom(0); }

std::uint64_t LatencyHistogram::countFrom(std::size_t Bucket) const {
  auto First = this->Counts.begin() + std::min(Bucket, Buckets);
  return std::accumulate(First, this->Counts.end(), std::uint64_t(0));
}

std::size_t LatencyHistogram::bucketAbove(double Fraction) const {
  double Allowed = Fraction * static_cast<double>(this->total());
  double Above = 0;
  for (std::size_t Bucket = Buckets; Bucket > 0; --Bucket) {
    Above += static_cast<double>(this->Counts[Bucket - 1]);
    if (Above > Allowed)
      return Bucket;
  }
  return 0;
}

Json LatencyHistogram::toJson() const {
  Json Pairs = Json::array();
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    if (this->Counts[Bucket] > 0) {
      Pairs.push_back(Bucket);
      Pairs.push_back(this->Counts[Bucket]);
    }
  return Pairs;
}

Result<LatencyHistogram> LatencyHistogram::fromJson(const Json &Value) {
  if (!Value.is_array() || Value.size() % 2 != 0)
    return fail(
        ErrorCode::InvalidArgument,
        "latency histogram is not an array of pairs of bucket and count");
  LatencyHistogram Read;
  for (std::size_t Index = 0; Index < Value.size(); Index += 2) {
    if (!Value[Index].is_number_unsigned() ||
        !Value[Index + 1].is_number_unsigned())
      return fail(ErrorCode::InvalidArgument,
                  "latency histogram has a bucket or count that is no "
                  "unsigned integer");
    auto Bucket = Value[Index].get<std::uint64_t>();
    auto Count = Value[Index + 1].get<std::uint64_t>();
    if (Bucket >= Buckets || Count > MaxCount)
      return fail(ErrorCode::InvalidArgument,
                  "latency histogram has a bucket or count out of range");
    Read.Counts[Bucket] = Count;
  }
  return Read;
}

} // namespace amaranthward
