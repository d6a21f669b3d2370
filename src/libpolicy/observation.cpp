#include "libpolicy/observation.h"

#include <algorithm>

namespace amaranthward {
namespace {

constexpr std::uint64_t LargestCount = std::uint64_t(1) << 48;

std::uint64_t rise(std::uint64_t Now, std::uint64_t Before) {
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
  Difference.Calls = rise(this->Calls, Before.Calls);
  Difference.Failures = rise(this->Failures, Before.Failures);
  Difference.Latency = this->Latency.since(Before.Latency);
  return Difference;
}

CallCounters CallCounters::advance(const CallCounters &Newest) {
  CallCounters Added;
  Added.Calls = rise(Newest.Calls, this->Calls);
  Added.Failures = rise(Newest.Failures, this->Failures);
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

Json Observation::toJson(const Observation &One) {
  return {{"n", One.Reporter.str()},    {"i", One.Process.value()},
          {"s", One.Service.str()},     {"v", One.Version.str()},
          {"r", One.Route.str()},       {"c", One.Counters.Calls},
          {"f", One.Counters.Failures}, {"h", One.Counters.Latency.toJson()}};
}

Result<Observation> Observation::fromJson(const Json &Value) {
  Observation One;
  One.Reporter = NodeName(textAt(Value, "n"));
  One.Process = Incarnation(numberAt(Value, "i"));
  One.Service = ServiceName(textAt(Value, "s"));
  One.Version = VersionName(textAt(Value, "v"));
  One.Route = RouteName(textAt(Value, "r"));
  if (One.Reporter.empty() || One.Service.empty() || One.Version.empty() ||
      One.Route.empty())
    return fail(ErrorCode::InvalidArgument,
                "observation lacks a reporter, service, version or route");
  if (!Value.contains("c") || !Value["c"].is_number_unsigned() ||
      !Value.contains("f") || !Value["f"].is_number_unsigned())
    return fail(ErrorCode::InvalidArgument,
                "observation lacks its count of calls or failures");
  auto Latency =
      LatencyHistogram::fromJson(Value.value("h", Json(Json::array())));
  if (!Latency)
    return tl::make_unexpected(Latency.error());
  One.Counters = {numberAt(Value, "c"), numberAt(Value, "f"), *Latency};
  if (One.Counters.Calls > LargestCount ||
      One.Counters.Failures > One.Counters.Calls ||
      One.Counters.Latency.total() > One.Counters.Calls - One.Counters.Failures)
    return fail(ErrorCode::InvalidArgument,
                "observation counts more outcomes than calls");
  return One;
}

} // namespace amaranthward
