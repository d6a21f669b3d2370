#include "meshentry.h"

namespace amaranthward {

namespace {

constexpr Duration WithinZone = std::chrono::microseconds(150);

AttemptResult resultOf(CallEnd How) {
  switch (How) {
  case CallEnd::Answered:
    return AttemptResult::Success;
  case CallEnd::Failed:
    return AttemptResult::Failure;
  case CallEnd::Cancelled:
    return AttemptResult::Cancelled;
  case CallEnd::Leaving:
    return AttemptResult::Leaving;
  case CallEnd::Shed:
    break;
  }
  return AttemptResult::Shed;
}

AttemptOutcome outcomeOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Success:
    return AttemptOutcome::Answered;
  case AttemptResult::ConnectFailed:
  case AttemptResult::Shed:
  case AttemptResult::Leaving:
    return AttemptOutcome::NotRun;
  case AttemptResult::Failure:
    return AttemptOutcome::Failed;
  case AttemptResult::Timeout:
  case AttemptResult::Cancelled:
    break;
  }
  return AttemptOutcome::Unknown;
}

UpstreamSelectorSettings choiceSettings(const ZoneName &Zone) {
  UpstreamSelectorSettings Settings;
  Settings.OwnZone = Zone;
  Settings.OwnRegion = RegionName("region");
  return Settings;
}

} // namespace

MeshEntry::MeshEntry(EventQueue &Events, const MeshExperiment &Plan,
                     ZoneName Zone, std::vector<MeshUpstream> &Upstreams,
                     MeshHooks Hooks, RandomFunction Random)
    : Events(Events), Plan(Plan), Zone(Zone), Upstreams(Upstreams),
      Hooks(std::move(Hooks)),
      Choice(UpstreamSelector::create(choiceSettings(Zone), Random).value()),
      Budget(RetryBudget::create({}, Events.now()).value()) {
  this->Next = Random() % Upstreams.size();
  this->setOutOfService({});
}

void MeshEntry::setOutOfService(const std::set<ZoneName> &Zones) {
  std::vector<UpstreamCandidate> All;
  for (const MeshUpstream &One : this->Upstreams)
    All.push_back(One.Candidate);
  this->OutOfService = Zones;
  this->Choice.setCandidates(All, Zones, this->Events.now());
}

Duration MeshEntry::distance(const MeshUpstream &To) const {
  return To.Candidate.Zone == this->Zone ? WithinZone : this->Plan.BetweenZones;
}

void MeshEntry::call(const SimulatedCall &Call, bool Idempotent, Done OnDone) {
  this->Budget.recordCall(this->Events.now());
  auto One = std::make_shared<Pending>();
  One->Call = Call;
  One->Call.Cancellable = Idempotent;
  One->Idempotent = Idempotent;
  One->OnDone = std::move(OnDone);
  this->attempt(One);
}

MeshUpstream *MeshEntry::nextTarget(const PendingCall &Call,
                                    UpstreamHandle &Handle) {
  if (this->Plan.Choice == ChoicePolicy::RoundRobin) {
    for (std::size_t Try = 0; Try < this->Upstreams.size(); ++Try) {
      MeshUpstream &One =
          this->Upstreams[this->Next++ % this->Upstreams.size()];
      if (!this->OutOfService.contains(One.Candidate.Zone))
        return &One;
    }
    return nullptr;
  }
  auto Chosen = this->Choice.choose(this->Events.now(), Call->Tried);
  if (!Chosen)
    return nullptr;
  Handle = *Chosen;
  Call->Tried.push_back(*Chosen);
  return &this->Upstreams[std::stoul(this->Choice.find(*Chosen)->Node.str())];
}

void MeshEntry::attempt(const PendingCall &Call) {
  ++Call->Attempts;
  UpstreamHandle Handle;
  MeshUpstream *To = this->nextTarget(Call, Handle);
  if (!To)
    return Call->OnDone(false);
  this->Hooks.OnAttempt(To->Candidate.Zone == this->Zone);
  this->Events.after(this->distance(*To), [this, Call, To, Handle] {
    this->send(Call, *To, Handle);
  });
}

void MeshEntry::send(const PendingCall &Call, MeshUpstream &To,
                     UpstreamHandle Handle) {
  Duration Way = this->distance(To);
  Instant Start = this->Events.now() - Way;
  if (To.Refuses) {
    this->Events.after(Way, [this, Call, Handle, Start] {
      this->ended(Call, Handle, AttemptResult::ConnectFailed, Start);
    });
    return;
  }
  To.Gate->submit(Call->Call, [this, Call, &To, Handle, Start,
                               Way](CallEnd How) {
    // Load as the gate reports it with the response.
    std::uint32_t Running = To.Gate->inFlight();
    std::uint32_t Limit = To.Gate->limit();
    this->Events.after(Way, [this, Call, Handle, Start, How, Running, Limit] {
      this->Choice.hintLoad(Handle, Running, Limit, this->Events.now());
      this->ended(Call, Handle, resultOf(How), Start);
    });
  });
  this->Hooks.OnArrival(To);
}

void MeshEntry::ended(const PendingCall &Call, UpstreamHandle Handle,
                      AttemptResult Result, Instant Start) {
  Instant Now = this->Events.now();
  this->Choice.finish(Handle, Result, Now - Start, Now);
  RetryInputs Question;
  Question.Outcome = outcomeOf(Result);
  Question.Idempotent = Call->Idempotent;
  Question.Attempts = Call->Attempts;
  Question.TimeLeft = Call->Call.Deadline - Now;
  bool Unlimited = this->Plan.Retries == RetryPolicy::Unlimited;
  Question.BudgetLeft = Unlimited || this->Budget.available();
  Question.Leaving = Result == AttemptResult::Leaving;
  RetryAction Action = decideRetry(Question).Action;
  if (Action == RetryAction::Stop)
    return Call->OnDone(Question.Outcome == AttemptOutcome::Answered);
  if (Action == RetryAction::RetryElsewhere)
    --Call->Attempts;
  else if (!Unlimited)
    this->Budget.trySpend(Now);
  this->attempt(Call);
}

} // namespace amaranthward
