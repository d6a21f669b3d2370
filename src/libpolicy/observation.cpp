#include "libpolicy/observation.h"

#include <algorithm>

namespace amaranthward {
namespace {

/// Limit on a received count; keeps sums over up to 65,536 reporters within 64
/// bits.
constexpr std::uint64_t MaxCount = std::uint64_t(1) << 48;

/// Difference of two counters; zero when it has decreased.
std::uint64_t increase(std::uint64_t Now, std::uint64_t Before) {
  return Now > Before ? Now - Before : 0;
}

} // namespace

void CallCounters::add(const CallCounters &Other) {
  this->Calls += Other.Calls;
  this->Failures += Other.Failures;
  this->Latency.add(Other.Latency);
}

void CallCounters::raiseTo(const CallCounters &Other) {
  this->Calls = std::max(this->Calls, Other.Calls);
  this->Failures = std::max(this->Failures, Other.Failures);
  this->Latency.raiseTo(Other.Latency);
}

CallCounters CallCounters::since(const CallCounters &Before) const {
  CallCounters Difference;
  Difference.Calls = increase(this->Calls, Before.Calls);
  Difference.Failures = increase(this->Failures, Before.Failures);
  Difference.Latency = this->Latency.since(Before.Latency);
  return Difference;
}

CallCounters CallCounters::advance(const CallCounters &Newest) {
  CallCounters Added;
  Added.Calls = increase(Newest.Calls, this->Calls);
  Added.Failures = increase(Newest.Failures, this->Failures);
  Added.Latency = this->Latency.advance(Newest.Latency);
  this->Calls += Added.Calls;
  this->Failures += Added.Failures;
  return Added;
}

void CallCounters::count(bool Failed, Duration Latency) {
  ++this->Calls;
  if (Failed)
    ++this->Failures;
  else
    this->Latency.add(Latency);
}

Json Observation::toJson(const Observation &Report) {
  return {
      {"n", Report.Reporter.str()},    {"i", Report.Process.value()},
      {"s", Report.Service.str()},     {"v", Report.Version.str()},
      {"r", Report.Route.str()},       {"c", Report.Counters.Calls},
      {"f", Report.Counters.Failures}, {"h", Report.Counters.Latency.toJson()}};
}

Result<Observation> Observation::fromJson(const Json &Value) {
  Observation Report;
  Report.Reporter = NodeName(textAt(Value, "n"));
  Report.Process = Incarnation(numberAt(Value, "i"));
  Report.Service = ServiceName(textAt(Value, "s"));
  Report.Version = VersionName(textAt(Value, "v"));
  Report.Route = RouteName(textAt(Value, "r"));
  if (Report.Reporter.empty() || Report.Service.empty() ||
      Report.Version.empty() || Report.Route.empty())
    return fail(ErrorCode::InvalidArgument,
                "observation has no reporter, service, version or route");
  if (!Value.contains("c") || !Value["c"].is_number_unsigned() ||
      !Value.contains("f") || !Value["f"].is_number_unsigned())
    return fail(ErrorCode::InvalidArgument,
                "observation has no valid count of calls (c) or failures (f)");
  auto Latency =
      LatencyHistogram::fromJson(Value.value("h", Json(Json::array())));
  if (!Latency)
    return tl::make_unexpected(Latency.error());
  Report.Counters = {numberAt(Value, "c"), numberAt(Value, "f"), *Latency};
  if (Report.Counters.Calls > MaxCount ||
      Report.Counters.Failures > Report.Counters.Calls ||
      Report.Counters.Latency.total() >
          Report.Counters.Calls - Report.Counters.Failures)
    return fail(ErrorCode::InvalidArgument,
                "observation has more failures and latencies than calls, or "
                "too large a count");
  return Report;
}

} // namespace amaranthward
