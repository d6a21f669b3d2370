#include "libcore/json.h"

#include <Poco/JSON/Parser.h>
#include <benchmark/benchmark.h>

using namespace amaranthward;

namespace {

/// The member table as it travels: one change per member.
std::string memberTable(std::int64_t Members) {
  Json Changes = Json::array();
  for (std::int64_t Number = 0; Number < Members; ++Number) {
    const auto Value = static_cast<std::uint64_t>(Number);
    const std::string Text = std::to_string(Number);
    Changes.push_back(
        Json::array({Value, "member/node-" + Text,
                     Json{{"i", Value * 0x9e3779b97f4a7c15ULL},
                          {"z", "zone-" + std::to_string(Number % 24)},
                          {"r", "region-" + std::to_string(Number % 8)},
                          {"a", "10.0." + std::to_string(Number / 250) + "." +
                                    std::to_string(Number % 250) + ":7000"},
                          {"s", "service-" + std::to_string(Number % 310)},
                          {"v", "v1"},
                          {"k", 9U},
                          {"c", 120U}}}));
  }
  return dumpJson(Json{{"v", {1U, 2000U}}, {"c", std::move(Changes)}});
}

void report(benchmark::State &State, const std::string &Text) {
  State.SetBytesProcessed(
      static_cast<std::int64_t>(State.iterations() * Text.size()));
  State.counters["bytes"] = static_cast<double>(Text.size());
}

void parseWithNlohmann(benchmark::State &State) {
  const std::string Text = memberTable(State.range(0));
  for (auto _ : State)
    benchmark::DoNotOptimize(Json::parse(Text));
  report(State, Text);
}

/// With the depth check that untrusted input passes through.
void parseWithParseJson(benchmark::State &State) {
  const std::string Text = memberTable(State.range(0));
  for (auto _ : State)
    benchmark::DoNotOptimize(parseJson(Text));
  report(State, Text);
}

void parseWithPoco(benchmark::State &State) {
  const std::string Text = memberTable(State.range(0));
  for (auto _ : State) {
    Poco::JSON::Parser Parser;
    benchmark::DoNotOptimize(Parser.parse(Text));
  }
  report(State, Text);
}

void dumpWithNlohmann(benchmark::State &State) {
  const std::string Text = memberTable(State.range(0));
  const Json Value = Json::parse(Text);
  for (auto _ : State)
    benchmark::DoNotOptimize(dumpJson(Value));
  report(State, Text);
}

// 450 members fill one chunk of 64 KiB.
BENCHMARK(parseWithNlohmann)->Arg(450)->Arg(2000);
BENCHMARK(parseWithParseJson)->Arg(450)->Arg(2000);
BENCHMARK(parseWithPoco)->Arg(450)->Arg(2000);
BENCHMARK(dumpWithNlohmann)->Arg(450)->Arg(2000);

} // namespace

BENCHMARK_MAIN();
