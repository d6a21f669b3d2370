#include "libpolicy/admissionqueue.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Bulk calls may fill the queue up to its capacity divided by this.
constexpr std::uint32_t BulkDivisor = 2;

} // namespace

bool AdmissionQueue::hasRoom(CallClass Class, std::uint32_t Rank) const {
  if (Class == CallClass::Bulk &&
      this->count(CallClass::Bulk) >= this->Capacity / BulkDivisor)
    return false;
  if (this->size() < this->Capacity)
    return true;
  if (this->Calls.empty())
    return false;
  const Waiting &Last = *this->Calls.rbegin();
  return std::tie(Last.Class, Last.Rank) > std::tie(Class, Rank);
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::add(const Waiting &Call) {
  this->Calls.insert(Call);
  ++this->Counts[static_cast<std::size_t>(Call.Class)];
  if (this->size() <= this->Capacity)
    return std::nullopt;
  return this->takeLast();
}

void AdmissionQueue::take(const Waiting &Call) {
  if (this->Calls.erase(Call) > 0)
    --this->Counts[static_cast<std::size_t>(Call.Class)];
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::remove(AdmissionTicket Ticket) {
  auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const Waiting &Call) { return Call.Ticket == Ticket; });
  if (Found == this->Calls.end())
    return std::nullopt;
  Waiting Removed = *Found;
  this->take(Removed);
  return Removed;
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::takeInfeasible(Instant Now,
                               const RequiredTimeFunction &RequiredTime) {
  auto Found = std::find_if(this->Calls.begin(), this->Calls.end(),
                            [&](const Waiting &Call) {
                              return Call.Deadline <= Now + RequiredTime(Call);
                            });
  if (Found == this->Calls.end())
    return std::nullopt;
  Waiting Taken = *Found;
  this->take(Taken);
  return Taken;
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::next(Instant Now, const RequiredTimeFunction &RequiredTime,
                     const RouteShares &Shares) const {
  if (this->Calls.empty())
    return std::nullopt;
  const Waiting &First = *this->Calls.begin();
  auto InTime = [&](const Waiting &Call) {
    return !Call.hasObjective() || Now + RequiredTime(Call) <= Call.Objective;
  };
  // The preferred call of each route: the first one that can meet its
  // objective, else the first one. Routes are ordered by their first call.
  std::vector<const Waiting *> FirstByRoute;
  for (const Waiting &Call : this->Calls) {
    if (!Call.hasSamePriority(First))
      break;
    auto SameRoute = std::find_if(
        FirstByRoute.begin(), FirstByRoute.end(),
        [&](const Waiting *Other) { return Other->Route == Call.Route; });
    if (SameRoute == FirstByRoute.end())
      FirstByRoute.push_back(&Call);
    else if (!InTime(**SameRoute) && InTime(Call))
      *SameRoute = &Call;
  }
  const Waiting *Chosen = FirstByRoute.front();
  for (const Waiting *Other : FirstByRoute) {
    bool OnlyOtherInTime = InTime(*Other) && !InTime(*Chosen);
    if (Shares.isBehind(Other->Route, Chosen->Route) ||
        (OnlyOtherInTime && !Shares.isBehind(Chosen->Route, Other->Route)))
      Chosen = Other;
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
AdmissionQueue::nextInfeasible(const RequiredTimeFunction &RequiredTime) const {
  std::optional<Instant> Next;
  for (const Waiting &Call : this->Calls) {
    Instant At = Call.Deadline - RequiredTime(Call);
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

std::uint32_t AdmissionQueue::countAhead(const Waiting &Call) const {
  auto Position = this->Calls.lower_bound(Call);
  return static_cast<std::uint32_t>(
      std::distance(this->Calls.begin(), Position));
}

std::uint32_t AdmissionQueue::countAheadOnRoute(const Waiting &Call) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Calls.begin(), this->Calls.lower_bound(Call),
      [&Call](const Waiting &Other) { return Other.Route == Call.Route; }));
}

} // namespace amaranthward
