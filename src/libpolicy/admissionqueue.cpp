#include "libpolicy/admissionqueue.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Part of the queue that bulk calls may fill.
constexpr std::uint32_t BulkPart = 2;

} // namespace

bool AdmissionQueue::hasRoom(CallClass Class, std::uint32_t Rank) const {
  if (Class == CallClass::Bulk &&
      this->count(CallClass::Bulk) >= this->Capacity / BulkPart)
    return false;
  if (this->size() < this->Capacity)
    return true;
  if (this->Calls.empty())
    return false;
  const Waiting &Last = *this->Calls.rbegin();
  return std::tie(Last.Class, Last.Rank) > std::tie(Class, Rank);
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

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::remove(AdmissionTicket Ticket) {
  auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const Waiting &One) { return One.Ticket == Ticket; });
  if (Found == this->Calls.end())
    return std::nullopt;
  Waiting Removed = *Found;
  this->take(Removed);
  return Removed;
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::takeHopeless(Instant Now, const NeededTime &Needed) {
  auto Found = std::find_if(
      this->Calls.begin(), this->Calls.end(),
      [&](const Waiting &One) { return One.Deadline <= Now + Needed(One); });
  if (Found == this->Calls.end())
    return std::nullopt;
  Waiting Taken = *Found;
  this->take(Taken);
  return Taken;
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::next(Instant Now, const NeededTime &Needed,
                     const RouteShares &Shares) const {
  if (this->Calls.empty())
    return std::nullopt;
  const Waiting &First = *this->Calls.begin();
  auto InTime = [&](const Waiting &One) {
    return !One.hasObjective() || Now + Needed(One) <= One.Objective;
  };
  // The best call of each route, in order of the time by which it is due.
  std::vector<const Waiting *> Best;
  for (const Waiting &One : this->Calls) {
    if (!One.sameGroup(First))
      break;
    auto Known =
        std::find_if(Best.begin(), Best.end(), [&](const Waiting *Each) {
          return Each->Route == One.Route;
        });
    if (Known == Best.end())
      Best.push_back(&One);
    else if (!InTime(**Known) && InTime(One))
      *Known = &One;
  }
  const Waiting *Chosen = Best.front();
  for (const Waiting *Each : Best) {
    bool Better = InTime(*Each) && !InTime(*Chosen);
    if (Shares.isBehind(Each->Route, Chosen->Route) ||
        (Better && !Shares.isBehind(Chosen->Route, Each->Route)))
      Chosen = Each;
  }
  return *Chosen;
}

std::optional<AdmissionQueue::Waiting> AdmissionQueue::takeLast() {
  if (this->Calls.empty())
    return std::nullopt;
  Waiting Taken = *this->Calls.rbegin();
  this->take(Taken);
  return Taken;
}

std::optional<Instant>
AdmissionQueue::nextHopeless(const NeededTime &Needed) const {
  std::optional<Instant> Next;
  for (const Waiting &One : this->Calls) {
    Instant At = One.Deadline - Needed(One);
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

std::uint32_t AdmissionQueue::ahead(const Waiting &One) const {
  auto Place = this->Calls.lower_bound(One);
  return static_cast<std::uint32_t>(std::distance(this->Calls.begin(), Place));
}

std::uint32_t AdmissionQueue::aheadOnRoute(const Waiting &One) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Calls.begin(), this->Calls.lower_bound(One),
      [&One](const Waiting &Each) { return Each.Route == One.Route; }));
}

} // namespace amaranthward
