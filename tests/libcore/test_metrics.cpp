#include "libcore/metrics.h"

#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("Metrics text lists one TYPE line for each family") {
  // Guards against repeated TYPE lines, which scrapers reject.
  Metrics Registry;
  Registry.counter("calls_total{class=\"bulk\"}") = 2;
  Registry.counter("calls_total{class=\"urgent\"}") = 3;
  CHECK(Registry.toText() == "# TYPE calls_total counter\n"
                             "calls_total{class=\"bulk\"} 2\n"
                             "calls_total{class=\"urgent\"} 3\n");
}

TEST_CASE("Distribution reports count, extremes and quantiles") {
  // Guards against quantiles being read from the wrong probability.
  Distribution Values;
  for (int Value = 1; Value <= 1000; ++Value)
    Values.add(Value);
  CHECK(Values.count() == 1000);
  CHECK(Values.min() == 1);
  CHECK(Values.max() == 1000);
  CHECK(Values.quantile(0) == doctest::Approx(500).epsilon(0.02));
  CHECK(Values.quantile(2) == doctest::Approx(990).epsilon(0.02));
}
