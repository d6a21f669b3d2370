#include "libpolicy/latencyhistogram.h"

#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("Buckets and their edges agree") {
  // Guards against a threshold of slowness that splits a bucket.
  for (std::size_t Bucket = 1; Bucket < LatencyHistogram::Buckets; ++Bucket) {
    Duration Edge = LatencyHistogram::lowerEdge(Bucket);
    CHECK(LatencyHistogram::bucketOf(Edge) == Bucket);
    CHECK(LatencyHistogram::bucketOf(Edge - Duration(1)) == Bucket - 1);
  }
  CHECK(LatencyHistogram::bucketOf(Duration(-5)) == 0);
  CHECK(LatencyHistogram::bucketOf(std::chrono::hours(5)) ==
        LatencyHistogram::Buckets - 1);
}

TEST_CASE("bucketAbove leaves at most the given part above it") {
  // Guards against a threshold that counts usual calls as slow.
  LatencyHistogram All;
  All.add(std::chrono::milliseconds(5), 990);
  All.add(std::chrono::milliseconds(50), 10);
  std::size_t Bucket = All.bucketAbove(0.01);
  CHECK(All.countFrom(Bucket) <= 10);
  CHECK(All.countFrom(Bucket - 1) > 10);
  CHECK(All.countFrom(All.bucketAbove(0.009)) == 0);
}

TEST_CASE("A histogram that breaks its limits is refused") {
  // Guards against a write beyond the buckets and against sums that overflow.
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[86,1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("[1,-1]")).has_value());
  CHECK_FALSE(LatencyHistogram::fromJson(Json::parse("{}")).has_value());
  CHECK_FALSE(
      LatencyHistogram::fromJson(Json::parse("[1,18446744073709551615]"))
          .has_value());
  LatencyHistogram Some;
  Some.add(std::chrono::milliseconds(7), 3);
  CHECK(LatencyHistogram::fromJson(Some.toJson()) == Some);
}
