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

// Counters restart with each move, so the move is part of the identity under
// which they only ever rise.
Incarnation countingProcess(Incarnation Start, const std::string &MoveId) {
  std::string Text = std::to_string(Start.value()) + '/' + MoveId;
  // 53 bits stay exact in every JSON reader.
  return Incarnation(stableHash(Text) >> 11);
}

} // namespace

Result<MoveObserver> MoveObserver::create(NodeName Self, Incarnation Start) {
  return MoveObserver(std::move(Self), Start);
}

void MoveObserver::update(const RoutingView &View) {
  for (auto Entry = this->Watches.begin(); Entry != this->Watches.end();) {
    if (View.openMove(Entry->first)) {
      ++Entry;
      continue;
    }
    this->lift(Entry->first, Entry->second);
    Entry = this->Watches.erase(Entry);
  }
  for (const auto &[Service, Spec] : View.services()) {
    if (const Json *Move = View.openMove(Service))
      this->watch(Service, *Move, View);
  }
}

void MoveObserver::watch(const ServiceName &Service, const Json &Move,
                         const RoutingView &View) {
  Watch &Of = this->Watches[Service];
  if (Of.MoveId != textAt(Move, "id")) {
    this->lift(Service, Of);
    Of = Watch();
    Of.MoveId = textAt(Move, "id");
    Of.Candidate = VersionName(textAt(Move, "candidate"));
    Of.Baseline = VersionName(textAt(Move, "baseline"));
    auto Made = LocalShareLimiter::create(routesOf(Service, View));
    if (Made && !Of.Candidate.empty())
      Of.Reflex.emplace(std::move(*Made));
  }
  if (Of.Reflex)
    Of.Reflex->follow(Revision(numberAt(Move, "decided")),
                      shareIn(View.split(Service), Of.Candidate));
}

void MoveObserver::record(const AttemptReport &Attempt) {
  auto Found = this->Watches.find(Attempt.Service);
  if (Found == this->Watches.end())
    return;
  Found->second.Counters[{Attempt.Version, Attempt.Route}].count(
      !Attempt.Ok, Attempt.Latency);
}

bool MoveObserver::step(Instant Now) {
  bool Fell = false;
  for (auto &[Service, Of] : this->Watches) {
    if (!Of.Reflex)
      continue;
    std::map<RouteName, RouteTotals> Totals;
    for (const auto &[Key, Counters] : Of.Counters) {
      if (Key.first == Of.Candidate)
        Totals[Key.second].Candidate = Counters;
      else if (Key.first == Of.Baseline)
        Totals[Key.second].Baseline = Counters;
    }
    if (!Of.Reflex->step(Now, Totals))
      continue;
    Fell = true;
    logFor("moves")->warn("This node lowers the share of {} {} to {:.2f}%.",
                          Service.str(), Of.Candidate.str(),
                          100 * Of.Reflex->share().fraction());
  }
  return Fell;
}

void MoveObserver::lift(const ServiceName &Service, const Watch &Of) {
  if (!Of.Candidate.empty())
    this->Lifted.push_back({Service, Of.Candidate, Share::all()});
}

std::vector<ShareBound> MoveObserver::bounds() {
  std::vector<ShareBound> Bounds = std::move(this->Lifted);
  this->Lifted.clear();
  for (const auto &[Service, Of] : this->Watches) {
    if (!Of.Reflex)
      continue;
    Share Largest = Of.Reflex->isReduced() ? Of.Reflex->share() : Share::all();
    Bounds.push_back({Service, Of.Candidate, Largest});
  }
  return Bounds;
}

std::optional<Json> MoveObserver::report() const {
  if (this->Watches.empty())
    return std::nullopt;
  std::vector<MoveReport> Reports;
  for (const auto &[Service, Of] : this->Watches) {
    for (const auto &[Key, Counters] : Of.Counters) {
      MoveReport One;
      One.MoveId = Of.MoveId;
      One.Rejects = Of.Reflex && Of.Reflex->rejects();
      One.Counters.Reporter = this->Self;
      One.Counters.Process = countingProcess(this->Start, Of.MoveId);
      One.Counters.Service = Service;
      One.Counters.Version = Key.first;
      One.Counters.Route = Key.second;
      One.Counters.Counters = Counters;
      Reports.push_back(std::move(One));
    }
  }
  return MoveReport::listToJson(Reports);
}

Json MoveObserver::dump() const {
  Json Out = Json::object();
  for (const auto &[Service, Of] : this->Watches) {
    bool Reduced = Of.Reflex && Of.Reflex->isReduced();
    Out[Service.str()] = {{"move", Of.MoveId},
                          {"candidate", Of.Candidate.str()},
                          {"reduced", Reduced}};
  }
  return Out;
}

} // namespace amaranthward
