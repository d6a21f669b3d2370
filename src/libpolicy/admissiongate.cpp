#include "libpolicy/admissiongate.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Routes beyond this number share one set of measurements.
constexpr std::uint32_t MostRoutes = 256;
/// One slot in this many is kept for urgent calls, from \a LeastForReserve.
constexpr std::uint32_t ReservePart = 8;
constexpr std::uint32_t LeastForReserve = 3;

std::uint32_t urgentReserve(std::uint32_t Limit) {
  return Limit < LeastForReserve ? 0 : std::max(1U, Limit / ReservePart);
}

/// Two thirds, rounded up: a service that has only bulk calls still uses
/// enough of its limit for the ramp to see the effect of load.
std::uint32_t bulkCap(std::uint32_t Limit) { return (2 * Limit + 2) / 3; }

} // namespace

AdmissionControl::Impl::Impl(const AdmissionSettings &Settings,
                             Instant KnownSince)
    : Settings(Settings), Baseline(Settings.Slots),
      Ramp(Settings.Slots, Settings.WarmUp, Instant()),
      Adaptive(Settings.Slots), Cold(KnownSince) {}

std::uint32_t AdmissionControl::Impl::routeIndex(const RouteName &Route) {
  auto Found = this->RouteNumbers.find(Route);
  if (Found != this->RouteNumbers.end())
    return Found->second;
  if (this->RouteNumbers.size() >= MostRoutes)
    return 0;
  auto Number = static_cast<std::uint32_t>(this->RouteNumbers.size());
  this->RouteNumbers.emplace(Route, Number);
  return Number;
}

std::uint32_t AdmissionControl::Impl::limit(Instant Now) const {
  if (this->declaresWarmth())
    return this->Settings.Slots;
  std::uint32_t Limit = std::min(
      {this->Settings.Slots, this->Ramp.limit(), this->Adaptive.limit()});
  // During the ramp the measurements need the limit, and they are better
  // evidence than the report.
  if (this->Ramp.isWarm() && this->LoadHint > 1 &&
      Now - this->LoadHintAt <= LoadHintLife) {
    auto Hinted = static_cast<std::uint32_t>(Limit / this->LoadHint);
    Limit = std::max((Limit + 1) / 2, Hinted);
  }
  return Limit;
}

std::uint32_t AdmissionControl::Impl::runningNonUrgent() const {
  return static_cast<std::uint32_t>(this->Calls.size()) -
         this->RunningByClass[static_cast<std::size_t>(CallClass::Urgent)];
}

bool AdmissionControl::Impl::canStart(CallClass Class, Instant Now) const {
  std::uint32_t Limit = this->limit(Now);
  if (this->Calls.size() >= Limit || !this->Cold.mayStart(Now))
    return false;
  if (Class == CallClass::Urgent)
    return true;
  std::uint32_t Reserve = this->HasUrgent ? urgentReserve(Limit) : 0;
  if (this->runningNonUrgent() >= Limit - Reserve)
    return false;
  return Class != CallClass::Bulk ||
         this->RunningByClass[static_cast<std::size_t>(CallClass::Bulk)] <
             bulkCap(Limit);
}

AdmissionDecision AdmissionControl::Impl::request(const AdmissionRequest &Call,
                                                  Instant Now,
                                                  AdmissionActions &Actions) {
  if (!this->ColdSince)
    this->becomeCold(Now);
  this->watch(Now, Actions);
  this->refuseHopeless(Now, Actions);
  AdmissionDecision Decision;
  if (this->LeavingSince) {
    Decision.Reason = RefusalReason::Leaving;
    return Decision;
  }
  AdmissionQueue::Waiting Waiting{Call.Class,
                                  Call.Deadline,
                                  {},
                                  this->routeIndex(Call.Route),
                                  Call.Cancellable,
                                  Call.Rank,
                                  Call.Objective};
  this->Shares.asked(Waiting.Route, Now);
  if (Call.Deadline <= Now + this->needed(Waiting, Now)) {
    Decision.Reason = RefusalReason::DeadlineTooShort;
    return Decision;
  }
  if (!this->canStart(Call.Class, Now))
    return this->enqueue(Waiting, Now, Actions);
  Decision.Verdict = AdmissionVerdict::Admit;
  Decision.Ticket = Waiting.Ticket = AdmissionTicket(this->NextTicket++);
  this->start(Waiting, Now);
  return Decision;
}

Duration AdmissionControl::Impl::needed(const AdmissionQueue::Waiting &Call,
                                        Instant Now) const {
  return Call.hasObjective() ? this->Times.typical(Call.Route, Now)
                             : this->Times.least(Call.Route, Now);
}

AdmissionQueue::NeededTime AdmissionControl::Impl::neededAt(Instant Now) const {
  return [this, Now](const AdmissionQueue::Waiting &One) {
    return this->needed(One, Now);
  };
}

Duration AdmissionControl::Impl::waitFor(const AdmissionQueue::Waiting &Call,
                                         Duration Turn) const {
  std::uint32_t Ahead = this->Queue.ahead(Call);
  // A route that is behind gets every second turn at least.
  const auto &Waiting = this->Queue.calls();
  bool Behind = std::any_of(
      Waiting.begin(), Waiting.end(), [&](const AdmissionQueue::Waiting &Each) {
        return Each.sameGroup(Call) && Each < Call &&
               this->Shares.isBehind(Call.Route, Each.Route);
      });
  if (Behind)
    Ahead = std::min(Ahead, 2 * this->Queue.aheadOnRoute(Call));
  return Turn * (Ahead + 1);
}

AdmissionDecision AdmissionControl::Impl::enqueue(AdmissionQueue::Waiting Call,
                                                  Instant Now,
                                                  AdmissionActions &Actions) {
  std::uint32_t Limit = this->limit(Now);
  AdmissionDecision Decision;
  Duration Turn = this->Times.mean() / Limit;
  // In proportion to the limit, so that calls do not wait long at a cold
  // upstream while others have room.
  this->Queue.setCapacity(std::max(
      1U, static_cast<std::uint32_t>(std::uint64_t(this->Settings.Queue) *
                                     Limit / this->Settings.Slots)));
  if (this->Settings.Queue == 0 ||
      !this->Queue.hasRoom(Call.Class, Call.Rank)) {
    Decision.Reason = RefusalReason::QueueFull;
    Decision.RetryAfter = Turn * (this->Queue.size() + 1);
    return Decision;
  }
  Duration Wait = this->waitFor(Call, Turn);
  if (Call.Deadline <= Now + Wait + this->needed(Call, Now)) {
    Decision.Reason = RefusalReason::DeadlineTooShort;
    Decision.RetryAfter = Wait;
    return Decision;
  }
  // Routes of long objectives would otherwise fill the queue of the others.
  Duration Room = this->Shares.isAhead(Call.Route, Now)
                      ? Duration::zero()
                      : Call.Objective - Now - this->needed(Call, Now);
  if (Call.hasObjective() &&
      !this->Overload.mayWait(Call.Route, Wait, Room, Now)) {
    Decision.Reason = RefusalReason::Overloaded;
    Decision.RetryAfter = Wait;
    return Decision;
  }
  this->ColdStartAt = this->Cold.nextStart(Now);
  Decision.Verdict = AdmissionVerdict::Queue;
  Decision.Ticket = Call.Ticket = AdmissionTicket(this->NextTicket++);
  auto Displaced = this->Queue.add(Call);
  if (Displaced)
    Actions.Refused.push_back({Displaced->Ticket, RefusalReason::Displaced});
  return Decision;
}

void AdmissionControl::Impl::start(const AdmissionQueue::Waiting &Call,
                                   Instant Now) {
  auto InFlight = static_cast<std::uint32_t>(this->Calls.size()) + 1;
  // Just warm, the baseline is still empty; the last measurement of the ramp
  // stands in for it.
  double Expected = this->Ramp.recent(Call.Route);
  if (this->Ramp.isWarm()) {
    double Warm = this->Baseline.expected(Call.Route, InFlight);
    Expected = Warm > 0 ? Warm : Expected;
  }
  this->Calls.push_back({Call.Ticket, Call.Class, Call.Route, InFlight,
                         this->Ramp.step(), Now, Expected, Call.Cancellable,
                         false});
  ++this->RunningByClass[static_cast<std::size_t>(Call.Class)];
  this->Shares.started(Call.Route, Now);
  this->Cold.started(Now);
}

void AdmissionControl::Impl::startWaiting(Instant Now,
                                          AdmissionActions &Actions) {
  AdmissionQueue::NeededTime Needed = this->neededAt(Now);
  // Classes are in order of their caps, so when the first call may not start,
  // none may.
  while (auto Next = this->Queue.next(Now, Needed, this->Shares)) {
    AdmissionQueue::Waiting First = *Next;
    if (!this->canStart(First.Class, Now))
      return;
    this->Queue.take(First);
    this->start(First, Now);
    Actions.Start.push_back(First.Ticket);
  }
}

void AdmissionControl::Impl::refuseHopeless(Instant Now,
                                            AdmissionActions &Actions) {
  this->LastCheck = Now;
  AdmissionQueue::NeededTime Needed = this->neededAt(Now);
  while (auto Hopeless = this->Queue.takeHopeless(Now, Needed)) {
    Actions.Refused.push_back(
        {Hopeless->Ticket, RefusalReason::DeadlineTooShort});
    if (Hopeless->hasObjective())
      this->Overload.starved(Now);
  }
  if (!this->LeavingSince || Now - *this->LeavingSince < LeavingGrace)
    return;
  while (auto Last = this->Queue.takeLast())
    Actions.Refused.push_back({Last->Ticket, RefusalReason::Leaving});
}

AdmissionActions
AdmissionControl::Impl::complete(AdmissionTicket Ticket, UpstreamResult Result,
                                 std::optional<Duration> UpstreamTime,
                                 Instant Now) {
  AdmissionActions Actions;
  auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const Running &One) { return One.Ticket == Ticket; });
  if (Found == this->Calls.end())
    return Actions;
  Running Call = *Found;
  *Found = this->Calls.back();
  this->Calls.pop_back();
  --this->RunningByClass[static_cast<std::size_t>(Call.Class)];
  this->observe(Call, Result, UpstreamTime.value_or(Now - Call.Start), Now);
  return this->advance(Now);
}

void AdmissionControl::Impl::cancelQueued(AdmissionTicket Ticket) {
  if (auto Removed = this->Queue.remove(Ticket))
    this->Shares.withdrawn(Removed->Route);
}

AdmissionActions AdmissionControl::Impl::advance(Instant Now) {
  AdmissionActions Actions;
  this->watch(Now, Actions);
  this->refuseHopeless(Now, Actions);
  this->startWaiting(Now, Actions);
  this->ColdStartAt = this->Cold.nextStart(Now);
  return Actions;
}

std::optional<Instant> AdmissionControl::Impl::nextWake() const {
  std::optional<Instant> Wake =
      this->Queue.nextHopeless(this->neededAt(this->LastCheck));
  if (Wake && this->LeavingSince)
    Wake = std::min(*Wake, *this->LeavingSince + LeavingGrace);
  if (Wake && this->ColdStartAt)
    Wake = std::min(*Wake, *this->ColdStartAt);
  return Wake;
}

void AdmissionControl::Impl::hintLoad(double Load, Instant Now) {
  this->LoadHint = Load;
  this->LoadHintAt = Now;
}

void AdmissionControl::Impl::declareCold(Duration For, double CallsPerSecond,
                                         Instant Now) {
  this->Cold.declare(For, CallsPerSecond, Now);
}

void AdmissionControl::Impl::leave(Instant Now) {
  if (!this->LeavingSince)
    this->LeavingSince = Now;
}

void AdmissionControl::Impl::restore(Instant Now) {
  this->LeavingSince.reset();
  this->becomeCold(Now);
}

void AdmissionControl::Impl::resetUpstream(Instant Now) {
  this->Baseline.clear();
  this->becomeCold(Now);
}

AdmissionStatus AdmissionControl::Impl::status(Instant Now) const {
  AdmissionStatus Status;
  if (this->Ramp.isWarm())
    Status.Phase = WarmthPhase::Warm;
  else if (this->Ramp.level() > 1)
    Status.Phase = WarmthPhase::Warming;
  Status.Leaving = this->LeavingSince.has_value();
  Status.Limit = this->limit(Now);
  Status.Ramp = this->Ramp.limit();
  Status.Adaptive = this->Adaptive.limit();
  Status.InFlight = static_cast<std::uint32_t>(this->Calls.size());
  Status.Queued = this->Queue.size();
  Status.ColdAgain = this->ColdAgain;
  return Status;
}

} // namespace amaranthward
