#include "seedruns.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <thread>

namespace amaranthward {
namespace {

constexpr std::uint64_t Workers = 3;

} // namespace

SeedRuns::SeedRuns(const Scenario &Of, Policy Kind, std::uint64_t Seeds,
                   const std::function<void(Scenario &, std::uint64_t)> &Vary)
    : Results(Seeds) {
  auto Work = [&](std::uint64_t Worker) {
    for (std::uint64_t At = Worker; At < Seeds; At += Workers) {
      Scenario Varied = Of;
      if (Vary)
        Vary(Varied, At + 1);
      this->Results[At] = runSession(Varied, Kind, At + 1);
    }
  };
  std::vector<std::thread> Running;
  for (std::uint64_t Worker = 0; Worker < Workers; ++Worker)
    Running.emplace_back(Work, Worker);
  for (std::thread &One : Running)
    One.join();
}

double SeedRuns::mean(const Figure &Of) const {
  double Sum = 0;
  for (const SessionResult &One : this->Results)
    Sum += Of(One);
  return Sum / static_cast<double>(this->Results.size());
}

double SeedRuns::quantile(double Part, const Figure &Of) const {
  std::vector<double> Values;
  for (const SessionResult &One : this->Results)
    Values.push_back(Of(One));
  std::sort(Values.begin(), Values.end());
  auto Rank = static_cast<std::size_t>(
      std::ceil(Part * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Rank, 1) - 1];
}

double SeedRuns::perThousand(
    const std::function<bool(const SessionResult &)> &Of) const {
  return 1000 * this->mean([&Of](const SessionResult &One) {
    return Of(One) ? 1.0 : 0.0;
  });
}

bool endedDoneOnTime(const SessionResult &Result) {
  const MoveState *Last = Result.last();
  return Last && Last->Phase == MovePhase::Done && !Result.Reverted &&
         Last->EndedAt <= Last->Deadline;
}

bool endedOnce(const SessionResult &Result) {
  std::set<std::string> Ids;
  for (const MoveState &One : Result.Ended)
    if (!One.ended() || !Ids.insert(One.Id).second)
      return false;
  return !Ids.empty();
}

} // namespace amaranthward
