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

void RequestTable::finished(const Execution &Ended, Duration KeyedTime,
                            Instant Now) {
  const ForwardedRequest &Request = Ended.request();
  auto &Queue = Request.Keyed ? this->Keyed : this->Brief;
  Queue.push_back(
      {Request.Id, Now + (Request.Keyed ? KeyedTime : UnkeyedRetention)});
  if (Ended.keptBytes() > 0) {
    this->KeptBytes += Ended.keptBytes();
    this->Responses.push_back(Request.Id);
    this->boundResponses();
  }
  while (this->Brief.size() > MaxUnkeyedFinished) {
    this->forget(this->Brief.front().Id);
    this->Brief.pop_front();
  }
}

void RequestTable::expire(Instant Now) {
  for (auto *Queue : {&this->Brief, &this->Keyed})
    while (!Queue->empty() && Queue->front().Until <= Now) {
      this->forget(Queue->front().Id);
      Queue->pop_front();
    }
  std::erase_if(this->Blocked,
                [Now](const auto &Each) { return Each.second <= Now; });
}

bool RequestTable::block(const RequestId &Id, Instant Now) {
  auto Past = this->Forgotten.find(Id.Entry);
  if (Past != this->Forgotten.end() && Id.Sequence <= Past->second)
    return false;
  this->Blocked[Id] = Now + UnkeyedRetention;
  return true;
}

bool RequestTable::blocked(const RequestId &Id) const {
  return this->Blocked.contains(Id);
}

void RequestTable::forget(const RequestId &Id) {
  auto Found = this->All.find(Id);
  if (Found == this->All.end())
    return;
  this->KeptBytes -= Found->second->keptBytes();
  this->All.erase(Found);
  std::uint64_t &Highest = this->Forgotten[Id.Entry];
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
