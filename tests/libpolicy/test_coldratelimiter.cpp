#include "libpolicy/coldratelimiter.h"

#include "libpolicy/weightedroundrobin.h"
#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <vector>

using namespace amaranthward;
using namespace std::chrono_literals;

TEST_CASE("A cold upstream gets no more than its bound in any second") {
  // Guards against a burst around the boundary of two fixed windows of a
  // second.
  Instant Now{10s};
  ColdRateLimiter Rate(Now);
  Rate.declare(5s, 16, Now);
  std::vector<Instant> Starts;
  for (; Now < Instant{14s}; Now += 3ms)
    if (Rate.mayStart(Now)) {
      Rate.recordStart(Now);
      Starts.push_back(Now);
    }
  REQUIRE(Starts.size() > 16);
  for (Instant Start : Starts)
    CHECK(std::count_if(Starts.begin(), Starts.end(), [&](Instant Other) {
            return Other >= Start && Other < Start + 1s;
          }) <= 16);
}

TEST_CASE("The second before a gate started counts as the whole bound") {
  // Guards against twice the bound when a gate restarts beside a cold upstream:
  // it does not know the calls of its predecessor.
  Instant Now{10s};
  ColdRateLimiter Rate(Now);
  Rate.declare(5s, 16, Now);
  CHECK_FALSE(Rate.mayStart(Now + 900ms));
  CHECK(Rate.mayStart(Now + 1s));
}

TEST_CASE("Starts before an upstream became cold count") {
  // Guards against twice the bound in the second in which an upstream becomes
  // cold.
  Instant Now{10s};
  ColdRateLimiter Rate(Now - 10s);
  for (int I = 0; I < 30; ++I)
    Rate.recordStart(Now);
  Rate.declare(5s, 16, Now);
  CHECK_FALSE(Rate.mayStart(Now + 500ms));
  CHECK(Rate.nextStart(Now) == Now + 1s);
}

TEST_CASE("A warm upstream has no bound") {
  // Guards against a declared cold rate that limits a warm upstream.
  Instant Now{10s};
  ColdRateLimiter Rate(Now);
  Rate.declare(0s, 16, Now);
  for (int I = 0; I < 100; ++I) {
    CHECK(Rate.mayStart(Now));
    Rate.recordStart(Now);
  }
}

TEST_CASE("Each item is drawn by its weight to within one draw") {
  // Guards against shares that are off by a tenth over a few calls, as with
  // random draws.
  WeightedRoundRobin Order;
  std::vector<double> Weights = {90, 0, 10};
  std::vector<double> Drawn(3);
  for (int Draws = 1; Draws <= 200; ++Draws) {
    ++Drawn[*Order.next(Weights)];
    for (std::size_t I = 0; I < 3; ++I)
      CHECK(std::abs(Drawn[I] - Draws * Weights[I] / 100) <= 1);
  }
  CHECK_FALSE(Order.next({0, 0}).has_value());
}
