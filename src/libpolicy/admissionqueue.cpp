#include "libpolicy/admissionqueue.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Part of the queue that bulk calls may fill.
constexpr std::uint32_t BulkPart = 2;

} // namespace

bool AdmissionQueue::hasRoom(CallClass Class) const {
  if (Class == CallClass::Bulk &&
      this->count(CallClass::Bulk) >= this->Capacity / BulkPart)
    return false;
  if (this->size() < this->Capacity)
    return true;
  return !this->Calls.empty() && this->Calls.rbegin()->Class > Class;
}

std::optional<AdmissionQueue::Waiting> AdmissionQueue::add(const Waiting &One) {
  this->Calls.insert(One);
  ++this->Counts[static_cast<std::size_t>(One.Class)];
  if (this->size() <= this->Capacity)
    return std::nullopt;
  return this->takeLast();
}

void AdmissionQueue::take(const Waiting &One) {
  if (this->Calls.erase(One) > 0)
    --this->Counts[static_cast<std::size_t>(One.Class)];
}

void AdmissionQueue::remove(AdmissionTicket Ticket) {
  auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const Waiting &One) { return One.Ticket == Ticket; });
  if (Found != this->Calls.end())
    this->take(Waiting(*Found));
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::takeExpired(Instant Until) {
  for (CallClass Class :
       {CallClass::Urgent, CallClass::Interactive, CallClass::Bulk}) {
    auto First = this->Calls.lower_bound({Class, Instant::min(), {}, 0, false});
    if (First == this->Calls.end() || First->Class != Class ||
        First->Deadline > Until)
      continue;
    Waiting Taken = *First;
    this->take(Taken);
    return Taken;
  }
  return std::nullopt;
}

std::optional<AdmissionQueue::Waiting> AdmissionQueue::takeLast() {
  if (this->Calls.empty())
    return std::nullopt;
  Waiting Taken = *this->Calls.rbegin();
  this->take(Taken);
  return Taken;
}

std::optional<Instant> AdmissionQueue::earliestDeadline() const {
  std::optional<Instant> Earliest;
  for (CallClass Class :
       {CallClass::Urgent, CallClass::Interactive, CallClass::Bulk}) {
    auto First = this->Calls.lower_bound({Class, Instant::min(), {}, 0, false});
    if (First != this->Calls.end() && First->Class == Class &&
        (!Earliest || First->Deadline < *Earliest))
      Earliest = First->Deadline;
  }
  return Earliest;
}

std::uint32_t AdmissionQueue::ahead(CallClass Class, Instant Deadline) const {
  auto Place = this->Calls.lower_bound({Class, Deadline, {}, 0, false});
  return static_cast<std::uint32_t>(std::distance(this->Calls.begin(), Place));
}

} // namespace amaranthward
