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

TEST_CASE("Latencies are served as a histogram") {
  // Guards against buckets that are not cumulative, which scrapers misread.
  Metrics Registry;
  LatencyBuckets &Calls = Registry.latency("call_seconds{route=\"a\"}");
  Calls.add(std::chrono::milliseconds(90));
  Calls.add(std::chrono::milliseconds(300));
  Calls.add(std::chrono::seconds(60));
  std::string Text = Registry.toText();
  for (const char *Line : {"# TYPE call_seconds histogram\n",
                           "call_seconds_bucket{route=\"a\",le=\"0.05\"} 0\n",
                           "call_seconds_bucket{route=\"a\",le=\"0.1\"} 1\n",
                           "call_seconds_bucket{route=\"a\",le=\"0.3\"} 2\n",
                           "call_seconds_bucket{route=\"a\",le=\"5\"} 2\n",
                           "call_seconds_bucket{route=\"a\",le=\"+Inf\"} 3\n",
                           "call_seconds_count{route=\"a\"} 3\n"})
    CHECK(Text.find(Line) != std::string::npos);
}
