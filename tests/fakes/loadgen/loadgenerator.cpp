#include "fakes/loadgen/loadgenerator.h"
#include <algorithm>

namespace amaranthward {

namespace {

constexpr std::size_t MaxResponse = 64UL * 1024 * 1024;

std::int64_t quantile(const std::vector<std::int64_t> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

} // namespace

LoadGenerator::LoadGenerator(EventLoop &Loop, HttpClient &Client,
                             LoadOptions Options)
    : Loop(Loop), Client(Client), Options(std::move(Options)),
      Body(this->Options.BodyBytes, 'x') {}

void LoadGenerator::start(std::function<void()> WhenDone) {
  this->OnDone = std::move(WhenDone);
  this->Start = this->Loop.now();
  this->sendDue();
}

void LoadGenerator::sendDue() {
  Instant Now = this->Loop.now();
  double Factor = this->Options.Direct ? 2 : 1;
  auto Interval =
      Duration(static_cast<std::int64_t>(1e6 / (this->Options.Rate * Factor)));
  while (this->Start + this->Sent * Interval <= Now) {
    std::uint64_t Number = this->Sent++;
    if (this->Options.Direct && Number % 2 == 1) {
      this->sendOne(*this->Options.Direct, this->Plain);
      continue;
    }
    std::uint64_t Turn = this->Options.Direct ? Number / 2 : Number;
    this->sendOne(this->Options.Targets[Turn % this->Options.Targets.size()],
                  this->Node);
  }
  if (Now - this->Start >= this->Options.Time) {
    this->Sending = false;
    this->finishWhenAnswered();
    return;
  }
  this->Loop.after(this->Start + this->Sent * Interval - Now,
                   [this] { this->sendDue(); });
}

void LoadGenerator::sendOne(const Endpoint &Address, Series &Into) {
  Instant Begin = this->Loop.now();
  bool Counted = Begin - this->Start >= this->Options.WarmUp;
  ++this->Open;
  HttpRequestHead Head;
  Head.Method = this->Options.Method;
  Head.Target = this->Options.Path;
  Head.Headers.add("X-Order-Id", std::to_string(this->Sent));
  this->Client.call(
      Address, Head, this->Body, this->Options.Timeout, MaxResponse,
      [this, Begin, Counted, &Into](Result<HttpResponse> Response) {
        --this->Open;
        if (Counted) {
          std::string Outcome = "failed";
          if (Response) {
            Outcome = Response->Head.Headers.get("Amaranth-Outcome") + " " +
                      std::to_string(Response->Head.Status);
            Into.Latencies.push_back((this->Loop.now() - Begin).count());
          }
          ++Into.Outcomes[Outcome];
        }
        this->finishWhenAnswered();
      });
}

void LoadGenerator::finishWhenAnswered() {
  if (!this->Sending && this->Open == 0 && this->OnDone)
    std::exchange(this->OnDone, nullptr)();
}

Json LoadGenerator::table(Series Values) {
  std::sort(Values.Latencies.begin(), Values.Latencies.end());
  return {{"calls", Values.Latencies.size()},
          {"outcomes", Values.Outcomes},
          {"p50_us", quantile(Values.Latencies, 0.5)},
          {"p90_us", quantile(Values.Latencies, 0.9)},
          {"p99_us", quantile(Values.Latencies, 0.99)},
          {"max_us", quantile(Values.Latencies, 1)}};
}

Json LoadGenerator::report() const {
  Json All = {{"node", table(this->Node)}};
  if (!this->Options.Direct)
    return All;
  All["direct"] = table(this->Plain);
  for (const char *Name : {"p50", "p99"}) {
    std::string Key = std::string(Name) + "_us";
    All["added_us"][Name] = All["node"][Key].get<std::int64_t>() -
                            All["direct"][Key].get<std::int64_t>();
  }
  return All;
}

} // namespace amaranthward
