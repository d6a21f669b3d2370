#include "libpolicy/latencyhistogram.h"

#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("bucketOf and lowerEdge agree on the bucket boundaries") {
  // Guards against a slowness threshold that lies within a bucket.
  for (std::size_t Bucket = 1; Bucket < LatencyHistogram::Buckets; ++Bucket) {
    Duration Edge = LatencyHistogram::lowerEdge(Bucket);
    CHECK(LatencyHistogram::bucketOf(Edge) == Bucket);
    CHECK(LatencyHistogram::bucketOf(Edge - Duration(1)) == Bucket - 1);
  }
  CHECK(LatencyHistogram::bucketOf(Duration(-5)) == 0);
  CHECK(LatencyHistogram::bucketOf(std::chrono::hours(5)) ==
        LatencyHistogram::Buckets - 1);
}

TEST_CASE("bucketAbove leaves at most the given fraction above it") {
  // Guards against a slowness threshold that counts normal calls as slow.
  LatencyHistogram Latencies;
  Latencies.add(std::chrono::milliseconds(5), 990);
  Latencies.add(std::chrono::milliseconds(50), 10);
  std::size_t Bucket = Latencies.bucketAbove(0.01);
  CHECK(Latencies.countFrom(Bucket) <= 10);
  CHECK(Latencies.countFrom(Bucket - 1) > 10);
  CHECK(Latencies.countFrom(Latencies.bucketAbove(0.009)) == 0);
}

TEST_CASE("A histogram with invalid buckets or counts is rejected") {
  // Guards against a write beyond the array of buckets and against sums that
  // overflow.
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[86,1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[1,-1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("{}")).has_value());
  CHECK_FALSE(
      LatencyHistogram::fromJson(Json::parse("[1,18446744073709551615]"))
          .has_value());
  LatencyHistogram Original;
  Original.add(std::chrono::milliseconds(7), 3);
  CHECK(LatencyHistogram::fromJson(Original.toJson()) == Original);
}
