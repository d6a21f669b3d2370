#include "libpolicy/admissiongate.h"

#include <algorithm>

namespace amaranthward {

namespace {

/// Further routes share the measurements of the first one, which bounds the
/// memory of a gate.
constexpr std::uint32_t MaxTrackedRoutes = 256;
/// One slot in this many is reserved for urgent calls, at least one.
constexpr std::uint32_t UrgentReserveDivisor = 8;
/// Smallest limit with a reserve; with fewer slots it would take too large a
/// part of them.
constexpr std::uint32_t MinLimitForUrgentReserve = 3;

std::uint32_t urgentReserve(std::uint32_t Limit) {
  return Limit < MinLimitForUrgentReserve
             ? 0
             : std::max(1U, Limit / UrgentReserveDivisor);
}

/// Maximum number of running bulk calls: two thirds of the limit, rounded up.
/// A service with bulk calls alone must use enough of its limit for the ramp to
/// measure the effect of load.
std::uint32_t bulkCap(std::uint32_t Limit) { return (2 * Limit + 2) / 3; }

} // namespace

AdmissionControl::Impl::Impl(const AdmissionSettings &Settings,
                             Instant StartsKnownSince)
    : Settings(Settings), Baseline(Settings.Slots),
      Ramp(Settings.Slots, Settings.WarmUp, Instant()),
      Adaptive(Settings.Slots), Cold(StartsKnownSince) {}

std::uint32_t AdmissionControl::Impl::routeIndex(const RouteName &Route) {
  auto Found = this->RouteIndexes.find(Route);
  if (Found != this->RouteIndexes.end())
    return Found->second;
  if (this->RouteIndexes.size() >= MaxTrackedRoutes)
    return 0;
  auto Index = static_cast<std::uint32_t>(this->RouteIndexes.size());
  this->RouteIndexes.emplace(Route, Index);
  return Index;
}

std::uint32_t AdmissionControl::Impl::limit(Instant Now) const {
  if (this->declaresColdRate())
    return this->Settings.Slots;
  std::uint32_t Limit = std::min(
      {this->Settings.Slots, this->Ramp.limit(), this->Adaptive.limit()});
  // During the ramp the report is ignored: the measurements need the full
  // limit of the ramp, and they are more reliable than the report.
  if (this->Ramp.isWarm() && this->LoadHint > 1 &&
      Now - this->LoadHintAt <= LoadHintTimeout) {
    auto Hinted = static_cast<std::uint32_t>(Limit / this->LoadHint);
    Limit = std::max((Limit + 1) / 2, Hinted);
  }
  return Limit;
}

std::uint32_t AdmissionControl::Impl::runningNonUrgent() const {
  return static_cast<std::uint32_t>(this->RunningCalls.size()) -
         this->RunningByClass[static_cast<std::size_t>(CallClass::Urgent)];
}

bool AdmissionControl::Impl::canStart(CallClass Class, Instant Now) const {
  std::uint32_t Limit = this->limit(Now);
  if (this->RunningCalls.size() >= Limit || !this->Cold.mayStart(Now))
    return false;
  if (Class == CallClass::Urgent)
    return true;
  std::uint32_t Reserve = this->ReserveUrgentSlots ? urgentReserve(Limit) : 0;
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
  this->detectColdUpstream(Now, Actions);
  this->refuseInfeasible(Now, Actions);
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
  this->Shares.recordRequest(Waiting.Route, Now);
  if (Call.Deadline <= Now + this->requiredTime(Waiting, Now)) {
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

Duration
AdmissionControl::Impl::requiredTime(const AdmissionQueue::Waiting &Call,
                                     Instant Now) const {
  return Call.hasObjective() ? this->Times.meanServiceTime(Call.Route, Now)
                             : this->Times.minServiceTime(Call.Route, Now);
}

AdmissionQueue::RequiredTimeFunction
AdmissionControl::Impl::requiredTimeAt(Instant Now) const {
  return [this, Now](const AdmissionQueue::Waiting &Call) {
    return this->requiredTime(Call, Now);
  };
}

Duration
AdmissionControl::Impl::estimateWait(const AdmissionQueue::Waiting &Call,
                                     Duration StartInterval) const {
  std::uint32_t CallsAhead = this->Queue.countAhead(Call);
  // A route that is behind its share gets at least every second start.
  const auto &Waiting = this->Queue.calls();
  bool IsBehind =
      std::any_of(Waiting.begin(), Waiting.end(),
                  [&](const AdmissionQueue::Waiting &Other) {
                    return Other.hasSamePriority(Call) && Other < Call &&
                           this->Shares.isBehind(Call.Route, Other.Route);
                  });
  if (IsBehind)
    CallsAhead = std::min(CallsAhead, 2 * this->Queue.countAheadOnRoute(Call));
  return StartInterval * (CallsAhead + 1);
}

AdmissionDecision AdmissionControl::Impl::enqueue(AdmissionQueue::Waiting Call,
                                                  Instant Now,
                                                  AdmissionActions &Actions) {
  std::uint32_t Limit = this->limit(Now);
  AdmissionDecision Decision;
  Duration StartInterval = this->Times.mean() / Limit;
  // The queue shrinks with the limit, so that calls do not wait long at a cold
  // upstream while other upstreams have room.
  this->Queue.setCapacity(std::max(
      1U, static_cast<std::uint32_t>(std::uint64_t(this->Settings.Queue) *
                                     Limit / this->Settings.Slots)));
  if (this->Settings.Queue == 0 ||
      !this->Queue.hasRoom(Call.Class, Call.Rank)) {
    Decision.Reason = RefusalReason::QueueFull;
    Decision.RetryAfter = StartInterval * (this->Queue.size() + 1);
    return Decision;
  }
  Duration Wait = this->estimateWait(Call, StartInterval);
  if (Call.Deadline <= Now + Wait + this->requiredTime(Call, Now)) {
    Decision.Reason = RefusalReason::DeadlineTooShort;
    Decision.RetryAfter = Wait;
    return Decision;
  }
  // A route that is ahead of its share must not wait during overload.
  // Otherwise routes with long objectives would fill the queue.
  Duration MaxWait = this->Shares.isAhead(Call.Route, Now)
                         ? Duration::zero()
                         : Call.Objective - Now - this->requiredTime(Call, Now);
  if (Call.hasObjective() &&
      !this->Overload.mayWait(Call.Route, Wait, MaxWait, Now)) {
    Decision.Reason = RefusalReason::Overloaded;
    Decision.RetryAfter = Wait;
    return Decision;
  }
  this->NextStartWhileCold = this->Cold.nextStart(Now);
  Decision.Verdict = AdmissionVerdict::Queue;
  Decision.Ticket = Call.Ticket = AdmissionTicket(this->NextTicket++);
  auto Displaced = this->Queue.add(Call);
  if (Displaced)
    Actions.Refused.push_back({Displaced->Ticket, RefusalReason::Displaced});
  return Decision;
}

void AdmissionControl::Impl::start(const AdmissionQueue::Waiting &Call,
                                   Instant Now) {
  auto InFlight = static_cast<std::uint32_t>(this->RunningCalls.size()) + 1;
  // Directly after the warm-up the baseline is still empty, so the last
  // measurement of the ramp is used instead.
  double Expected = this->Ramp.recentLogLatency(Call.Route);
  if (this->Ramp.isWarm()) {
    double WarmExpected = this->Baseline.expected(Call.Route, InFlight);
    Expected = WarmExpected > 0 ? WarmExpected : Expected;
  }
  this->RunningCalls.push_back({Call.Ticket, Call.Class, Call.Route, InFlight,
                                this->Ramp.step(), Now, Expected,
                                Call.Cancellable, false});
  ++this->RunningByClass[static_cast<std::size_t>(Call.Class)];
  this->Shares.recordStart(Call.Route, Now);
  this->Cold.recordStart(Now);
}

void AdmissionControl::Impl::startWaiting(Instant Now,
                                          AdmissionActions &Actions) {
  AdmissionQueue::RequiredTimeFunction RequiredTime = this->requiredTimeAt(Now);
  // A higher class may use at least as many slots as a lower one, so when the
  // first call may not start, no other call may.
  while (auto Next = this->Queue.next(Now, RequiredTime, this->Shares)) {
    AdmissionQueue::Waiting First = *Next;
    if (!this->canStart(First.Class, Now))
      return;
    this->Queue.take(First);
    this->start(First, Now);
    Actions.Start.push_back(First.Ticket);
  }
}

void AdmissionControl::Impl::refuseInfeasible(Instant Now,
                                              AdmissionActions &Actions) {
  this->LastInfeasibleCheck = Now;
  AdmissionQueue::RequiredTimeFunction RequiredTime = this->requiredTimeAt(Now);
  while (auto Infeasible = this->Queue.takeInfeasible(Now, RequiredTime)) {
    Actions.Refused.push_back(
        {Infeasible->Ticket, RefusalReason::DeadlineTooShort});
    if (Infeasible->hasObjective())
      this->Overload.recordInfeasibleCall(Now);
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
      std::find_if(this->RunningCalls.begin(), this->RunningCalls.end(),
                   [&](const Running &Call) { return Call.Ticket == Ticket; });
  if (Found == this->RunningCalls.end())
    return Actions;
  Running Call = *Found;
  *Found = this->RunningCalls.back();
  this->RunningCalls.pop_back();
  --this->RunningByClass[static_cast<std::size_t>(Call.Class)];
  this->recordOutcome(Call, Result, UpstreamTime.value_or(Now - Call.Start),
                      Now);
  return this->advance(Now);
}

void AdmissionControl::Impl::cancelQueued(AdmissionTicket Ticket) {
  if (auto Removed = this->Queue.remove(Ticket))
    this->Shares.recordCancelled(Removed->Route);
}

AdmissionActions AdmissionControl::Impl::advance(Instant Now) {
  AdmissionActions Actions;
  this->detectColdUpstream(Now, Actions);
  this->refuseInfeasible(Now, Actions);
  this->startWaiting(Now, Actions);
  this->NextStartWhileCold = this->Cold.nextStart(Now);
  return Actions;
}

std::optional<Instant> AdmissionControl::Impl::nextWake() const {
  std::optional<Instant> Wake = this->Queue.nextInfeasible(
      this->requiredTimeAt(this->LastInfeasibleCheck));
  if (Wake && this->LeavingSince)
    Wake = std::min(*Wake, *this->LeavingSince + LeavingGrace);
  if (Wake && this->NextStartWhileCold)
    Wake = std::min(*Wake, *this->NextStartWhileCold);
  return Wake;
}

void AdmissionControl::Impl::hintLoad(double Load, Instant Now) {
  this->LoadHint = Load;
  this->LoadHintAt = Now;
}

void AdmissionControl::Impl::declareCold(Duration ColdFor,
                                         double CallsPerSecond, Instant Now) {
  this->Cold.declare(ColdFor, CallsPerSecond, Now);
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
  Status.InFlight = static_cast<std::uint32_t>(this->RunningCalls.size());
  Status.Queued = this->Queue.size();
  Status.ColdDetections = this->ColdDetections;
  return Status;
}

} // namespace amaranthward
