#ifndef AMARANTHWARD_TESTS_FAKES_LOADGEN_LOADGENERATOR_H
#define AMARANTHWARD_TESTS_FAKES_LOADGEN_LOADGENERATOR_H

#include "libcore/json.h"
#include "libnet/httpclient.h"
#include <map>
#include <optional>
#include <vector>

namespace amaranthward {

struct LoadOptions {
  /// Nodes, used in turn.
  std::vector<Endpoint> Targets;
  /// An upstream that gets every second call directly, at the same rate.
  std::optional<Endpoint> Direct;
  /// Calls per second to the targets.
  double Rate = 300;
  Duration Time = std::chrono::seconds(10);
  /// Calls before this time are not counted.
  Duration WarmUp = std::chrono::seconds(1);
  Duration Timeout = std::chrono::seconds(5);
  std::string Method = "GET";
  std::string Path = "/";
  std::size_t BodyBytes = 0;
};

/// Sends calls at a fixed rate, whatever becomes of earlier ones, and measures
/// each from the send to the last byte of the response.
class LoadGenerator {
public:
  LoadGenerator(EventLoop &Loop, HttpClient &Client, LoadOptions Options);

  void start(std::function<void()> OnDone);
  /// {"node": TABLE, "direct": TABLE, "added_us": {"p50", "p99"}}, where a
  /// table has calls, outcomes, and latency quantiles in microseconds.
  Json report() const;

private:
  struct Series {
    std::vector<std::int64_t> Latencies;
    std::map<std::string, std::uint64_t> Outcomes;
  };

  void sendDue();
  void sendOne(const Endpoint &Address, Series &Into);
  void finishWhenAnswered();
  static Json table(Series Values);

  EventLoop &Loop;
  HttpClient &Client;
  LoadOptions Options;
  std::function<void()> OnDone;
  std::string Body;
  Instant Start;
  std::uint64_t Sent = 0;
  std::uint64_t Open = 0;
  bool Sending = true;
  Series Node;
  Series Plain;
};

} // namespace amaranthward

#endif
