#include "libpolicy/adaptivelimit.h"
#include "libpolicy/colddetector.h"
#include "libpolicy/latencybaseline.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("One slow call or two failures are no evidence") {
  ColdDetector Detector;
  Detector.addLatency(5, 0.25);
  CHECK(!Detector.isCold(0));
  Detector.addOutcome(true);
  Detector.addOutcome(true);
  CHECK(!Detector.isCold(0));
  Detector.addOutcome(true);
  CHECK(Detector.isCold(0));
  Detector.reset();
  CHECK(!Detector.isCold(0));
}

TEST_CASE("Calls that take five times as long are found within a few") {
  ColdDetector Detector;
  int Calls = 0;
  while (!Detector.isCold(0) && Calls < 100) {
    Detector.addLatency(std::log(5), 0.16);
    ++Calls;
  }
  CHECK(Calls <= 4);
}

TEST_CASE("Ordinary latencies raise no alarm") {
  // Guards against a limit that drops for chance: a million calls with the
  // spread that the detector is told.
  RandomFunction Random = seededRandom(7);
  ColdDetector Detector;
  int Alarms = 0;
  for (int I = 0; I < 1000000; ++I) {
    double Sum = 0;
    for (int Part = 0; Part < 12; ++Part)
      Sum += static_cast<double>(Random() >> 11) * 0x1p-53;
    Detector.addLatency(0.5 * (Sum - 6), 0.25);
    Detector.addOutcome(Random() % 1000 == 0);
    if (Detector.isCold(0)) {
      ++Alarms;
      Detector.reset();
    }
  }
  CHECK(Alarms == 0);
}

TEST_CASE("The baseline depends on load and route") {
  LatencyBaseline Baseline(9);
  CHECK(Baseline.expected(0, 9) == 0);
  for (int I = 0; I < 100; ++I) {
    Baseline.learn(0, 9, 10);
    Baseline.learn(0, 3, 9);
    Baseline.learn(1, 9, 7);
  }
  CHECK(Baseline.expected(0, 9) == doctest::Approx(10));
  CHECK(Baseline.expected(0, 3) == doctest::Approx(9));
  CHECK(Baseline.expected(1, 9) == doctest::Approx(7));
  // Never seen: expected no slower than the nearest band that was.
  CHECK(Baseline.expected(0, 5) == doctest::Approx(9));
  CHECK(Baseline.expected(1, 1) < 7);
  CHECK(Baseline.expected(2, 1) == 0);
}

TEST_CASE("The adaptive limit falls with slow calls, to no less than half") {
  AdaptiveLimit Limit(9);
  for (int I = 0; I < 10000; ++I)
    Limit.add(1);
  CHECK(Limit.limit() == 5);
  for (int I = 0; I < 10000; ++I)
    Limit.add(0);
  CHECK(Limit.limit() == 9);
}
