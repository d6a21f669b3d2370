#include "libconsensus/proposals.h"

namespace amaranthward {

void Proposals::add(LogIndex Index, Done Callback) {
  this->Waiting[Index] = std::move(Callback);
}

void Proposals::settle(Done Callback, Result<LogIndex> Outcome) {
  this->Settled.emplace_back(std::move(Callback), std::move(Outcome));
}

void Proposals::complete(LogIndex Index) {
  auto Found = this->Waiting.find(Index);
  if (Found == this->Waiting.end())
    return;
  this->settle(std::move(Found->second), Index);
  this->Waiting.erase(Found);
}

void Proposals::failAfter(LogIndex Index, const Error &Cause) {
  auto Begin = this->Waiting.upper_bound(Index);
  for (auto Next = Begin; Next != this->Waiting.end(); ++Next)
    this->settle(std::move(Next->second), tl::make_unexpected(Cause));
  this->Waiting.erase(Begin, this->Waiting.end());
}

void Proposals::drain() {
  while (!this->Settled.empty()) {
    auto [Callback, Outcome] = std::move(this->Settled.front());
    this->Settled.pop_front();
    if (Callback)
      Callback(std::move(Outcome));
  }
}

} // namespace amaranthward
