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
// Weight of the newest window in the moving average of the call rate.
constexpr double RateSmoothing = 0.5;
// Time within which all nodes have sent their counters to a new leader.
constexpr Duration CounterResendTime = std::chrono::milliseconds(2500);

double rejectingFraction(const std::map<NodeName, bool> &Reporters) {
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

// Calls that the upstreams of each version can execute at the same time, over
// the zones in service.
std::map<VersionName, double>
capacityOf(const ServiceName &Service, const ControlData &Data,
           const std::map<NodeName, Member> &Members) {
  std::map<VersionName, double> Capacity;
  for (const auto &[Node, Info] : Members) {
    if (Info.Service != Service || Info.Leaving)
      continue;
    if (zoneInService(Data, Info.Zone))
      Capacity[Info.Version] += Info.Slots;
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
  return MoveDriver(*Pacer, Options.Exposure, std::move(*Store));
}

void MoveDriver::observe(const Json &Encoded, const ControlData &Data,
                         Instant Now) {
  for (const MoveReport &Report : MoveReport::listFromJson(Encoded)) {
    auto Found = Data.Services.find(Report.Counters.Service);
    if (Found == Data.Services.end() || !Found->second.Move ||
        Found->second.Move->State.Id != Report.MoveId)
      continue;
    Tracker *Tracked =
        this->trackerFor(Report.Counters.Service, *Found->second.Move, Data);
    if (!Tracked)
      continue;
    Tracked->Reporters[Report.Counters.Reporter] = Report.Rejects;
    Tracked->Reaction.recordReport(Report.Counters.Reporter, Now);
    if (auto Recorded = this->Store.record(Report.Counters); !Recorded)
      logFor("moves")->warn("A node's report on a move is ignored: {}.",
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
    // A finished move of announced versions is never rolled back, and it is
    // kept so that the operator who ordered it can read the result.
    if (Move.ended() && Data.hasAnnouncedVersions(Service))
      continue;
    Tracker *Tracked = this->trackerFor(Service, *State.Move, Data);
    if (!Tracked)
      continue;
    recordCommit(*Tracked, State.Move->ChangeCount, Now);
    MoveInputs Inputs =
        this->inputsFor(Move, *Tracked, Data, Members, Now, Wall);
    if (Tracked->ProposedAt &&
        Tracked->ProposedChangeCount == State.Move->ChangeCount &&
        Now - *Tracked->ProposedAt < ProposalTimeout)
      continue;
    Json Payload;
    if (Move.ended() && !MovePacer::needsObservations(Move, Wall)) {
      Payload = CloseMove::create(Service, Move.Id)->toJson();
    } else {
      MoveDecision Decision = this->Pacer.decide(Move, Inputs);
      auto Record = RecordMove::create(Decision, State.Move->ChangeCount, Wall);
      if (!Record)
        continue;
      Payload = Record->toJson();
      ExposureBudget Exposure =
          ExposureBudget::create(Move, Inputs, this->Exposure);
      logFor("moves")->info(
          "Move {}: proposing phase {} with {:.2f}% of calls on {}; {}; {:.0f} "
          "of {:.0f} allowed calls used, {:.0f} of {} calls a second.",
          Move.Id, toString(Decision.Next.Phase),
          100 * Decision.Next.shareOf(Move.Driver).fraction(),
          Move.Driver.str(), describe(Inputs.Verdict), Exposure.used(),
          Exposure.allowed(), Inputs.CallsPerSecond, Inputs.AllCalls,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Inputs.ReactionTime)
              .count());
    }
    Tracked->ProposedAt = Now;
    Tracked->ProposedChangeCount = State.Move->ChangeCount;
    Payloads.push_back(ControlState::encode(Payload));
  }
  return Payloads;
}

void MoveDriver::recordCommit(Tracker &Tracked, std::uint64_t ChangeCount,
                              Instant Now) {
  if (!Tracked.ProposedAt || ChangeCount <= Tracked.ProposedChangeCount)
    return;
  Tracked.Reaction.recordCommit(Now - *Tracked.ProposedAt);
  Tracked.ProposedAt.reset();
}

void MoveDriver::reset() {
  for (const auto &[Service, Tracked] : this->Trackers)
    this->Store.forget(Service);
  this->Trackers.clear();
  this->LeadingSince.reset();
}

Json MoveDriver::dump() const {
  Json Out = Json::object();
  for (const auto &[Service, Tracked] : this->Trackers) {
    const AnalysisVerdict &Verdict = Tracked.Analysis.verdict();
    Out[Service.str()] = {{"move", Tracked.MoveId},
                          {"verdict", toString(Verdict.Kind)},
                          {"candidate_calls", Verdict.CandidateCalls},
                          {"evidence", describe(Verdict)},
                          {"calls_per_second", Tracked.CallsPerSecond},
                          {"mean_latency_s", Tracked.MeanLatencySeconds}};
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
  bool IsNewMove =
      Found == this->Trackers.end() || Found->second.MoveId != Move.State.Id;
  if (IsNewMove)
    this->Store.forget(Service);
  logFor("moves")->info("Move {}: the analysis starts with {} routes because "
                        "{}.",
                        Move.State.Id, Routes.size(),
                        IsNewMove ? "this leader has none of the move"
                                  : "the routes of the service changed");
  if (!IsNewMove) {
    Found->second.Routes = std::move(Routes);
    Found->second.Analysis = std::move(*Analysis);
    return &Found->second;
  }
  Tracker NewTracker(Move.State.Id, std::move(Routes), std::move(*Analysis));
  return &this->Trackers.insert_or_assign(Service, std::move(NewTracker))
              .first->second;
}

void MoveDriver::sampleRates(Tracker &Tracked, const CallCounters &All,
                             Instant Now) const {
  if (Tracked.LastSample && Now - *Tracked.LastSample < RateWindow)
    return;
  // Nodes send their cumulative counters again to a new leader; that increase
  // must not count as a call rate.
  bool CountersResent = Now - *this->LeadingSince >= CounterResendTime;
  if (CountersResent && Tracked.LastSample && All.Calls >= Tracked.LastCalls) {
    double Seconds =
        std::chrono::duration<double>(Now - *Tracked.LastSample).count();
    double Rate = static_cast<double>(All.Calls - Tracked.LastCalls) / Seconds;
    Tracked.CallsPerSecond += (Tracked.CallsPerSecond > 0 ? RateSmoothing : 1) *
                              (Rate - Tracked.CallsPerSecond);
  }
  Tracked.MeanLatencySeconds = meanLatencySeconds(All.Latency);
  Tracked.LastCalls = All.Calls;
  Tracked.LastSample = Now;
}

MoveInputs MoveDriver::inputsFor(const MoveState &Move, Tracker &Tracked,
                                 const ControlData &Data,
                                 const std::map<NodeName, Member> &Members,
                                 Instant Now, WallTime Wall) {
  const auto &Sums = this->Store.sums(Move.Service);
  CallCounters All;
  for (const auto &[Key, Counters] : Sums)
    All.add(Counters);
  this->sampleRates(Tracked, All, Now);
  MoveInputs Inputs;
  Inputs.Now = Wall;
  Inputs.Verdict = Tracked.Analysis.step(Now, totalsOf(Sums, Move));
  Inputs.CallsPerSecond = Tracked.CallsPerSecond;
  Inputs.AllCalls = All.Calls;
  Inputs.ReactionTime =
      Tracked.Reaction.estimate(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Tracked.MeanLatencySeconds)));
  Inputs.Leading = Now - *this->LeadingSince;
  Inputs.RejectingFraction = rejectingFraction(Tracked.Reporters);
  Inputs.CallsInFlight = Tracked.CallsPerSecond * Tracked.MeanLatencySeconds;
  Inputs.Capacity = capacityOf(Move.Service, Data, Members);
  Inputs.Routes = static_cast<std::uint32_t>(Tracked.Routes.size());
  Inputs.CandidateMarkedBad =
      Data.BadMarks.count({Move.Service, Move.Candidate}) > 0;
  return Inputs;
}

} // namespace amaranthward
