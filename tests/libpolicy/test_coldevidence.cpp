#include "libpolicy/adaptivelimit.h"
#include "libpolicy/colddetector.h"
#include "libpolicy/latencybaseline.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("One slow call or two failures do not show a cold upstream") {
  // Guards against a limit that drops after a single pause of the upstream.
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

TEST_CASE("A fivefold latency is detected within four calls") {
  // Guards against slow detection, which exposes a cold upstream to full load.
  ColdDetector Detector;
  int Calls = 0;
  while (!Detector.isCold(0) && Calls < 100) {
    Detector.addLatency(std::log(5), 0.16);
    ++Calls;
  }
  CHECK(Calls <= 4);
}

TEST_CASE("Normal latencies cause no false alarm") {
  // Guards against a limit that drops by chance: a million calls with the
  // variance that the detector is given.
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
  // Guards against an effect of load that is mistaken for a cold upstream.
  LatencyBaseline Baseline(9);
  CHECK(Baseline.expected(0, 9) == 0);
  for (int I = 0; I < 100; ++I) {
    Baseline.add(0, 9, 10);
    Baseline.add(0, 3, 9);
    Baseline.add(1, 9, 7);
  }
  CHECK(Baseline.expected(0, 9) == doctest::Approx(10));
  CHECK(Baseline.expected(0, 3) == doctest::Approx(9));
  CHECK(Baseline.expected(1, 9) == doctest::Approx(7));
  // A band without measurements is expected no slower than the nearest one that
  // has some.
  CHECK(Baseline.expected(0, 5) == doctest::Approx(9));
  CHECK(Baseline.expected(1, 1) < 7);
  CHECK(Baseline.expected(2, 1) == 0);
}

TEST_CASE("The adaptive limit falls with slow calls, to no less than half") {
  // Guards against a lasting change of the work that takes away all slots.
  AdaptiveLimit Limit(9);
  for (int I = 0; I < 10000; ++I)
    Limit.add(1);
  CHECK(Limit.limit() == 5);
  for (int I = 0; I < 10000; ++I)
    Limit.add(0);
  CHECK(Limit.limit() == 9);
}
