#include "amaranthward/moveobserver.h"

#include "libcontrol/movereport.h"
#include "libcore/hashing.h"
#include "libcore/log.h"

namespace amaranthward {

namespace {

std::vector<RouteName> routesOf(const ServiceName &Service,
                                const RoutingView &View) {
  std::vector<RouteName> Routes;
  for (const auto &[Name, Route] : View.routes()) {
    if (Route.serves(Service))
      Routes.push_back(Name);
  }
  return Routes;
}

Share shareIn(const std::map<VersionName, Share> &Split,
              const VersionName &Version) {
  auto Found = Split.find(Version);
  return Found == Split.end() ? Share::none() : Found->second;
}

// Incarnation under which counters are reported. It covers the process and the
// move, because counters of one incarnation must never decrease and each move
// starts them from zero.
Incarnation counterIncarnation(Incarnation Start, const std::string &MoveId) {
  std::string Text = std::to_string(Start.value()) + '/' + MoveId;
  // Integers below 2^53 are exact in every JSON reader.
  return Incarnation(stableHash(Text) >> 11);
}

} // namespace

Result<MoveObserver> MoveObserver::create(NodeName Self, Incarnation Start) {
  return MoveObserver(std::move(Self), Start);
}

void MoveObserver::update(const RoutingView &View) {
  for (auto Entry = this->ObservedMoves.begin();
       Entry != this->ObservedMoves.end();) {
    if (View.openMove(Entry->first)) {
      ++Entry;
      continue;
    }
    this->releaseLimit(Entry->first, Entry->second);
    Entry = this->ObservedMoves.erase(Entry);
  }
  for (const auto &[Service, Spec] : View.services()) {
    if (const Json *Move = View.openMove(Service))
      this->observeMove(Service, *Move, View);
  }
}

void MoveObserver::observeMove(const ServiceName &Service, const Json &Move,
                               const RoutingView &View) {
  ObservedMove &Observed = this->ObservedMoves[Service];
  if (Observed.MoveId != textAt(Move, "id")) {
    this->releaseLimit(Service, Observed);
    Observed = ObservedMove();
    Observed.MoveId = textAt(Move, "id");
    Observed.Candidate = VersionName(textAt(Move, "candidate"));
    Observed.Baseline = VersionName(textAt(Move, "baseline"));
    auto Made = LocalShareLimiter::create(routesOf(Service, View));
    if (Made && !Observed.Candidate.empty())
      Observed.Limiter.emplace(std::move(*Made));
  }
  if (Observed.Limiter)
    Observed.Limiter->follow(Revision(numberAt(Move, "decided")),
                             shareIn(View.split(Service), Observed.Candidate));
}

void MoveObserver::record(const AttemptReport &Attempt) {
  auto Found = this->ObservedMoves.find(Attempt.Service);
  if (Found == this->ObservedMoves.end())
    return;
  Found->second.Counters[{Attempt.Version, Attempt.Route}].count(
      !Attempt.Ok, Attempt.Latency);
}

bool MoveObserver::step(Instant Now) {
  bool AnyLowered = false;
  for (auto &[Service, Observed] : this->ObservedMoves) {
    if (!Observed.Limiter)
      continue;
    std::map<RouteName, RouteTotals> Totals;
    for (const auto &[Key, Counters] : Observed.Counters) {
      if (Key.first == Observed.Candidate)
        Totals[Key.second].Candidate = Counters;
      else if (Key.first == Observed.Baseline)
        Totals[Key.second].Baseline = Counters;
    }
    if (!Observed.Limiter->step(Now, Totals))
      continue;
    AnyLowered = true;
    logFor("moves")->warn(
        "Lowering the share of {} version {} on this node to {:.2f}%.",
        Service.str(), Observed.Candidate.str(),
        100 * Observed.Limiter->share().fraction());
  }
  return AnyLowered;
}

void MoveObserver::releaseLimit(const ServiceName &Service,
                                const ObservedMove &Closed) {
  if (!Closed.Candidate.empty())
    this->ReleasedLimits.push_back({Service, Closed.Candidate, Share::all()});
}

std::vector<VersionShareLimit> MoveObserver::shareLimits() {
  std::vector<VersionShareLimit> Limits = std::move(this->ReleasedLimits);
  this->ReleasedLimits.clear();
  for (const auto &[Service, Observed] : this->ObservedMoves) {
    if (!Observed.Limiter)
      continue;
    Share MaxShare = Observed.Limiter->isReduced() ? Observed.Limiter->share()
                                                   : Share::all();
    Limits.push_back({Service, Observed.Candidate, MaxShare});
  }
  return Limits;
}

std::optional<Json> MoveObserver::report() const {
  if (this->ObservedMoves.empty())
    return std::nullopt;
  std::vector<MoveReport> Reports;
  for (const auto &[Service, Observed] : this->ObservedMoves) {
    for (const auto &[Key, Counters] : Observed.Counters) {
      MoveReport Report;
      Report.MoveId = Observed.MoveId;
      Report.Rejects = Observed.Limiter && Observed.Limiter->rejects();
      Report.Counters.Reporter = this->Self;
      Report.Counters.Process =
          counterIncarnation(this->Start, Observed.MoveId);
      Report.Counters.Service = Service;
      Report.Counters.Version = Key.first;
      Report.Counters.Route = Key.second;
      Report.Counters.Counters = Counters;
      Reports.push_back(std::move(Report));
    }
  }
  return MoveReport::listToJson(Reports);
}

Json MoveObserver::dump() const {
  Json Out = Json::object();
  for (const auto &[Service, Observed] : this->ObservedMoves) {
    bool Reduced = Observed.Limiter && Observed.Limiter->isReduced();
    Out[Service.str()] = {{"move", Observed.MoveId},
                          {"candidate", Observed.Candidate.str()},
                          {"reduced", Reduced}};
  }
  return Out;
}

} // namespace amaranthward
