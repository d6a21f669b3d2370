#ifndef AMARANTHWARD_LIBCORE_METRICS_H
#define AMARANTHWARD_LIBCORE_METRICS_H

#include "libcore/json.h"
#include "libcore/latencybuckets.h"
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace amaranthward {

/// Summary of a stream of values with estimated quantiles.
class Distribution {
public:
  Distribution();
  void add(double Value);

  std::uint64_t count() const;
  double sum() const;
  double min() const;
  double max() const;
  /// Estimated quantile; \a Index selects 0.5, 0.9 or 0.99.
  double quantile(std::size_t Index) const;

  static constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::sum,
          boost::accumulators::tag::min, boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square>>;
  Accumulator Values;
};

/// Counters, gauges and distributions of one process, by metric name.
class Metrics {
public:
  /// The reference stays valid for the life of the registry. Names follow the
  /// text exposition convention and may carry labels: name{key="value"}.
  std::uint64_t &counter(const std::string &Name) {
    return this->Counters[Name];
  }
  double &gauge(const std::string &Name) { return this->Gauges[Name]; }
  Distribution &distribution(const std::string &Name) {
    return this->Distributions[Name];
  }

  LatencyBuckets &latency(const std::string &Name) {
    return this->Latencies[Name];
  }

  /// Text exposition format, media type \a TextMediaType.
  std::string toText() const;
  Json toJson() const;

  static constexpr const char *TextMediaType =
      "text/plain; version=0.0.4; charset=utf-8";

private:
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, Distribution> Distributions;
  std::map<std::string, LatencyBuckets> Latencies;
};

} // namespace amaranthward

#endif
