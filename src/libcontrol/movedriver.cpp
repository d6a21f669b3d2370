#include "libcontrol/movedriver.h"

#include "libcontrol/controlstate.h"
#include "libcontrol/movereport.h"
#include "libcontrol/recordmove.h"
#include "libcore/log.h"
#include <algorithm>

namespace amaranthward {

namespace {

// Window over which call rates are measured.
constexpr Duration RateWindow = std::chrono::seconds(1);
constexpr double RateSmoothing = 0.5;
// Time in which the nodes have sent their counters to a new leader.
constexpr Duration ResendTime = std::chrono::milliseconds(2500);

double rejectingPart(const std::map<NodeName, bool> &Reporters) {
  if (Reporters.empty())
    return 0;
  auto Rejecting =
      std::count_if(Reporters.begin(), Reporters.end(),
                    [](const auto &Entry) { return Entry.second; });
  return static_cast<double>(Rejecting) / static_cast<double>(Reporters.size());
}

std::vector<RouteName> routesOf(const ControlData &Data,
                                const ServiceName &Service) {
  std::vector<RouteName> Routes;
  if (!Data.Current)
    return Routes;
  for (const RouteSpec &Route : Data.Current->Routes) {
    if (Route.serves(Service))
      Routes.push_back(Route.Name);
  }
  return Routes;
}

std::map<RouteName, RouteTotals> totalsOf(const ObservationStore::Sums &Sums,
                                          const MoveState &Move) {
  std::map<RouteName, RouteTotals> Totals;
  for (const auto &[Key, Counters] : Sums) {
    if (Key.first == Move.Candidate)
      Totals[Key.second].Candidate.add(Counters);
    else if (Key.first == Move.Baseline)
      Totals[Key.second].Baseline.add(Counters);
  }
  return Totals;
}

bool zoneInService(const ControlData &Data, const ZoneName &Name) {
  if (!Data.Current || Data.ZonesOutOfService.contains(Name))
    return false;
  const ZoneSpec *Zone = Data.Current->findZone(Name);
  return Zone ? Zone->InService : Data.Current->Zones.empty();
}

std::map<VersionName, double>
capacityOf(const ServiceName &Service, const ControlData &Data,
           const std::map<NodeName, Member> &Members) {
  std::map<VersionName, double> Capacity;
  for (const auto &[Node, One] : Members) {
    if (One.Service != Service || One.Leaving)
      continue;
    if (zoneInService(Data, One.Zone))
      Capacity[One.Version] += One.Slots;
  }
  return Capacity;
}

} // namespace

Result<MoveDriver> MoveDriver::create(PacerOptions Options) {
  auto Pacer = MovePacer::create(Options);
  if (!Pacer)
    return tl::make_unexpected(Pacer.error());
  auto Store = ObservationStore::create({});
  if (!Store)
    return tl::make_unexpected(Store.error());
  return MoveDriver(*Pacer, std::move(*Store));
}

void MoveDriver::observe(const Json &Report, const ControlData &Data) {
  for (const MoveReport &One : MoveReport::listFromJson(Report)) {
    auto Found = Data.Services.find(One.Counters.Service);
    if (Found == Data.Services.end() || !Found->second.Move ||
        Found->second.Move->State.Id != One.MoveId)
      continue;
    Tracker *Of =
        this->trackerFor(One.Counters.Service, *Found->second.Move, Data);
    if (!Of)
      continue;
    Of->Reporters[One.Counters.Reporter] = One.Rejects;
    if (auto Recorded = this->Store.record(One.Counters); !Recorded)
      logFor("moves")->warn("A report is dropped: {}.",
                            Recorded.error().Message);
  }
}

std::vector<std::string>
MoveDriver::decide(const ControlData &Data,
                   const std::map<NodeName, Member> &Members, Instant Now,
                   WallTime Wall) {
  std::vector<std::string> Payloads;
  if (!this->LeadingSince)
    this->LeadingSince = Now;
  for (const auto &[Service, State] : Data.Services) {
    if (!State.Move)
      continue;
    const MoveState &Move = State.Move->State;
    // Its versions cannot be brought back by a rollback, and its end must stay
    // known to the operator who ordered it.
    if (Move.ended() && Data.hasAnnouncedVersions(Service))
      continue;
    Tracker *Of = this->trackerFor(Service, *State.Move, Data);
    if (!Of)
      continue;
    MoveInputs Inputs = this->inputsFor(Move, *Of, Data, Members, Now, Wall);
    if (Of->ProposedAt && Of->ProposedSteps == State.Move->Steps &&
        Now - *Of->ProposedAt < ProposalTimeout)
      continue;
    Json Payload;
    if (Move.ended() && !MovePacer::needsObservations(Move, Wall)) {
      Payload = CloseMove::create(Service, Move.Id)->toJson();
    } else {
      MoveDecision Decision = this->Pacer.decide(Move, Inputs);
      auto Record = RecordMove::create(Decision, State.Move->Steps, Wall);
      if (!Record)
        continue;
      Payload = Record->toJson();
      logFor("moves")->info("Move {} goes to {} with {:.2f}% on {}.", Move.Id,
                            toString(Decision.Next.Phase),
                            100 * Decision.Next.shareOf(Move.Driver).fraction(),
                            Move.Driver.str());
    }
    Of->ProposedAt = Now;
    Of->ProposedSteps = State.Move->Steps;
    Payloads.push_back(ControlState::encode(Payload));
  }
  return Payloads;
}

void MoveDriver::reset() {
  for (const auto &[Service, Of] : this->Trackers)
    this->Store.forget(Service);
  this->Trackers.clear();
  this->LeadingSince.reset();
}

Json MoveDriver::dump() const {
  Json Out = Json::object();
  for (const auto &[Service, Of] : this->Trackers) {
    const AnalysisVerdict &Verdict = Of.Analysis.verdict();
    Out[Service.str()] = {{"move", Of.MoveId},
                          {"verdict", toString(Verdict.Kind)},
                          {"candidate_calls", Verdict.CandidateCalls},
                          {"calls_per_second", Of.CallsPerSecond},
                          {"mean_latency_s", Of.MeanLatencySeconds}};
  }
  return Out;
}

MoveDriver::Tracker *MoveDriver::trackerFor(const ServiceName &Service,
                                            const MoveRecord &Move,
                                            const ControlData &Data) {
  std::vector<RouteName> Routes = routesOf(Data, Service);
  auto Found = this->Trackers.find(Service);
  if (Found != this->Trackers.end() && Found->second.MoveId == Move.State.Id &&
      Found->second.Routes == Routes)
    return &Found->second;
  auto Analysis = VersionAnalysis::create(Routes);
  if (!Analysis)
    return nullptr;
  if (Found == this->Trackers.end() || Found->second.MoveId != Move.State.Id)
    this->Store.forget(Service);
  Tracker Fresh(Move.State.Id, std::move(Routes), std::move(*Analysis));
  return &this->Trackers.insert_or_assign(Service, std::move(Fresh))
              .first->second;
}

void MoveDriver::sampleRates(Tracker &Of, const CallCounters &All,
                             Instant Now) const {
  if (Of.LastSample && Now - *Of.LastSample < RateWindow)
    return;
  // Nodes send their whole counters to a new leader, which is no call rate.
  bool Settled = Now - *this->LeadingSince >= ResendTime;
  if (Settled && Of.LastSample && All.Calls >= Of.LastCalls) {
    double Seconds =
        std::chrono::duration<double>(Now - *Of.LastSample).count();
    double Rate = static_cast<double>(All.Calls - Of.LastCalls) / Seconds;
    Of.CallsPerSecond += RateSmoothing * (Rate - Of.CallsPerSecond);
  }
  Of.MeanLatencySeconds = meanLatencySeconds(All.Latency);
  Of.LastCalls = All.Calls;
  Of.LastSample = Now;
}

MoveInputs MoveDriver::inputsFor(const MoveState &Move, Tracker &Of,
                                 const ControlData &Data,
                                 const std::map<NodeName, Member> &Members,
                                 Instant Now, WallTime Wall) {
  const auto &Sums = this->Store.sums(Move.Service);
  CallCounters All;
  for (const auto &[Key, Counters] : Sums)
    All.add(Counters);
  this->sampleRates(Of, All, Now);
  MoveInputs Inputs;
  Inputs.Now = Wall;
  Inputs.Verdict = Of.Analysis.step(Now, totalsOf(Sums, Move));
  Inputs.CallsPerSecond = Of.CallsPerSecond;
  Inputs.AllCalls = All.Calls;
  Inputs.Leading = Now - *this->LeadingSince;
  Inputs.RejectingFraction = rejectingPart(Of.Reporters);
  Inputs.CallsInFlight = Of.CallsPerSecond * Of.MeanLatencySeconds;
  Inputs.Capacity = capacityOf(Move.Service, Data, Members);
  Inputs.Routes = static_cast<std::uint32_t>(Of.Routes.size());
  Inputs.CandidateMarkedBad =
      Data.BadMarks.count({Move.Service, Move.Candidate}) > 0;
  return Inputs;
}

} // namespace amaranthward
