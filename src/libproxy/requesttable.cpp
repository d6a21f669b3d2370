#include "libproxy/requesttable.h"
#include <algorithm>

namespace amaranthward {

std::shared_ptr<Execution> RequestTable::find(const RequestId &Id) const {
  auto Found = this->All.find(Id);
  return Found == this->All.end() ? nullptr : Found->second;
}

void RequestTable::add(std::shared_ptr<Execution> Added) {
  RequestId Id = Added->request().Id;
  this->All.emplace(Id, std::move(Added));
}

void RequestTable::finished(const Execution &Ended, Duration KeyedRetention,
                            Instant Now) {
  const ForwardedRequest &Request = Ended.request();
  auto &Queue = Request.Keyed ? this->FinishedKeyed : this->FinishedUnkeyed;
  Queue.push_back(
      {Request.Id, Now + (Request.Keyed ? KeyedRetention : UnkeyedRetention)});
  if (Ended.keptBytes() > 0) {
    this->KeptBytes += Ended.keptBytes();
    this->Responses.push_back(Request.Id);
    this->boundResponses();
  }
  while (this->FinishedUnkeyed.size() > MaxUnkeyedFinished) {
    this->evict(this->FinishedUnkeyed.front().Id);
    this->FinishedUnkeyed.pop_front();
  }
}

void RequestTable::expire(Instant Now) {
  for (auto *Queue : {&this->FinishedUnkeyed, &this->FinishedKeyed})
    while (!Queue->empty() && Queue->front().ExpiresAt <= Now) {
      this->evict(Queue->front().Id);
      Queue->pop_front();
    }
  std::erase_if(this->Blocked,
                [Now](const auto &Each) { return Each.second <= Now; });
}

bool RequestTable::block(const RequestId &Id, Instant Now) {
  auto Evicted = this->HighestEvicted.find(Id.Entry);
  if (Evicted != this->HighestEvicted.end() && Id.Sequence <= Evicted->second)
    return false;
  this->Blocked[Id] = Now + UnkeyedRetention;
  return true;
}

bool RequestTable::blocked(const RequestId &Id) const {
  return this->Blocked.contains(Id);
}

void RequestTable::evict(const RequestId &Id) {
  auto Found = this->All.find(Id);
  if (Found == this->All.end())
    return;
  this->KeptBytes -= Found->second->keptBytes();
  this->All.erase(Found);
  std::uint64_t &Highest = this->HighestEvicted[Id.Entry];
  Highest = std::max(Highest, Id.Sequence);
}

void RequestTable::boundResponses() {
  while (this->KeptBytes > MaxTotalResponseBytes && !this->Responses.empty()) {
    auto Oldest = this->find(this->Responses.front());
    this->Responses.pop_front();
    if (!Oldest)
      continue;
    this->KeptBytes -= Oldest->keptBytes();
    Oldest->dropResponse();
  }
}

} // namespace amaranthward
