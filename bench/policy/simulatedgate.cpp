#include "simulatedgate.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr std::uint32_t FixedLimitCalls = 4;
constexpr Duration HintInterval = std::chrono::milliseconds(100);

} // namespace

const char *toString(GatePolicy Policy) {
  switch (Policy) {
  case GatePolicy::Admission:
    return "admission";
  case GatePolicy::NoRamp:
    return "no-ramp";
  case GatePolicy::FixedLimit:
    return "fixed-limit-4";
  case GatePolicy::TimedRamp:
    return "timed-ramp";
  }
  return "unknown";
}

SimulatedGate::SimulatedGate(EventQueue &Events, GatePolicy Policy,
                             const AdmissionSettings &Settings,
                             const UpstreamModelSettings &Model,
                             RandomFunction Random)
    : Events(Events), Policy(Policy), Settings(Settings),
      Model(Model, std::move(Random)) {
  if (Policy == GatePolicy::Admission)
    this->Gate.emplace(AdmissionControl::create(Settings).value());
}

void SimulatedGate::submit(const SimulatedCall &Call, Done OnDone) {
  this->pump();
  if (!this->Gate) {
    std::uint64_t Id = this->NextId++;
    this->Calls.emplace(Id, Pending{Call, std::move(OnDone)});
    this->baselineSubmit(Id);
    this->schedule();
    return;
  }
  AdmissionActions Actions;
  AdmissionDecision Decision = this->Gate->request(
      {Call.Class, Call.Deadline, Call.Route, Call.Cancellable},
      this->Events.now(), Actions);
  if (Decision.Verdict == AdmissionVerdict::Refuse) {
    this->apply(Actions);
    OnDone(Decision.Reason == RefusalReason::Leaving ? CallEnd::Leaving
                                                     : CallEnd::Shed);
    return;
  }
  std::uint64_t Id = Decision.Ticket.value();
  this->Calls.emplace(Id, Pending{Call, std::move(OnDone)});
  if (Decision.Verdict == AdmissionVerdict::Admit)
    this->start(Id);
  this->apply(Actions);
  this->schedule();
}

void SimulatedGate::start(std::uint64_t Id) {
  ++this->Started;
  this->LastStart = this->Events.now();
  this->Running[Id] = true;
  this->Model.start(Id, this->Calls.at(Id).Call.Work, this->Events.now());
}

void SimulatedGate::end(std::uint64_t Id, CallEnd How) {
  auto Node = this->Calls.extract(Id);
  if (Node)
    Node.mapped().OnDone(How);
}

void SimulatedGate::apply(const AdmissionActions &Actions) {
  for (AdmissionTicket Ticket : Actions.Cancel) {
    if (this->Running.erase(Ticket.value()) == 0)
      continue;
    this->Model.cancel(Ticket.value(), this->Events.now());
    this->apply(this->Gate->complete(Ticket, UpstreamResult::Cancelled,
                                     std::nullopt, this->Events.now()));
    this->end(Ticket.value(), CallEnd::Cancelled);
  }
  for (AdmissionTicket Ticket : Actions.Start)
    this->start(Ticket.value());
  for (const AdmissionActions::Refusal &One : Actions.Refused)
    this->end(One.Ticket.value(), One.Reason == RefusalReason::Leaving
                                      ? CallEnd::Leaving
                                      : CallEnd::Shed);
}

// Passes on the calls that the upstream ended up to now.
void SimulatedGate::pump() {
  Instant Now = this->Events.now();
  if (this->Gate && Now >= this->NextHint) {
    this->Gate->hintLoad(this->Model.reportedLoad(Now), Now);
    this->NextHint = Now + HintInterval;
  }
  for (const UpstreamModel::Finished &One : this->Model.advance(Now)) {
    this->Running.erase(One.Call);
    if (this->Gate)
      this->apply(this->Gate->complete(AdmissionTicket(One.Call),
                                       One.Failed ? UpstreamResult::Failure
                                                  : UpstreamResult::Success,
                                       std::nullopt, Now));
    this->end(One.Call, One.Failed ? CallEnd::Failed : CallEnd::Answered);
  }
  if (this->Gate)
    this->apply(this->Gate->advance(Now));
  else
    this->baselineStartWaiting();
}

void SimulatedGate::schedule() {
  std::optional<Instant> Next = this->Model.nextEvent();
  if (this->Gate)
    if (std::optional<Instant> Wake = this->Gate->nextWake())
      Next = Next ? std::min(*Next, *Wake) : *Wake;
  if (!Next || (this->Scheduled && *this->Scheduled <= *Next &&
                *this->Scheduled > this->Events.now()))
    return;
  this->Scheduled = *Next;
  std::uint64_t Number = ++this->ScheduleNumber;
  this->Events.at(*Next, [this, Number] {
    if (Number != this->ScheduleNumber)
      return;
    this->Scheduled.reset();
    this->pump();
    this->schedule();
  });
}

void SimulatedGate::leave() {
  this->Left = true;
  if (this->Gate)
    this->Gate->leave(this->Events.now());
}

void SimulatedGate::restore() {
  this->turnCold();
  this->Left = false;
  this->RampStart = this->Events.now();
  if (this->Gate)
    this->Gate->restore(this->Events.now());
}

void SimulatedGate::turnCold() {
  this->pump();
  this->Model.turnCold(this->Events.now());
  this->schedule();
}

std::uint32_t SimulatedGate::limit() {
  return this->Gate ? this->Gate->status(this->Events.now()).Limit
                    : this->baselineLimit();
}

std::uint32_t SimulatedGate::baselineLimit() const {
  if (this->Policy == GatePolicy::FixedLimit)
    return FixedLimitCalls;
  if (this->Policy == GatePolicy::NoRamp)
    return this->Settings.Slots;
  double Part =
      static_cast<double>((this->Events.now() - this->RampStart).count()) /
      static_cast<double>(this->Settings.WarmUp.count());
  return std::min(this->Settings.Slots,
                  1 + static_cast<std::uint32_t>(Part * this->Settings.Slots));
}

void SimulatedGate::baselineSubmit(std::uint64_t Id) {
  if (this->Left)
    return this->end(Id, CallEnd::Leaving);
  if (this->Running.size() < this->baselineLimit())
    return this->start(Id);
  if (this->Fifo.size() >= this->Settings.Queue)
    return this->end(Id, CallEnd::Shed);
  this->Fifo.push_back(Id);
}

void SimulatedGate::baselineStartWaiting() {
  while (!this->Fifo.empty()) {
    std::uint64_t Id = this->Fifo.front();
    bool Late = this->Calls.at(Id).Call.Deadline <= this->Events.now();
    if (!Late && this->Running.size() >= this->baselineLimit())
      return;
    this->Fifo.erase(this->Fifo.begin());
    if (Late)
      this->end(Id, CallEnd::Shed);
    else
      this->start(Id);
  }
}

} // namespace amaranthward
