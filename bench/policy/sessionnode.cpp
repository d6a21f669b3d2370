#include "sessionnode.h"

#include <utility>

namespace amaranthward {

SessionNode::SessionNode(std::string Name, const std::vector<RouteName> &Routes,
                         bool HasReflex)
    : Name(std::move(Name)), Routes(Routes), HasReflex(HasReflex),
      Reflex(*LocalShareLimiter::create(Routes)) {
  for (const RouteName &Route : Routes)
    this->ByRoute.push_back(&this->Totals[Route]);
}

Share SessionNode::share() const {
  return this->HasReflex ? this->Reflex.share() : this->Followed.Candidate;
}

void SessionNode::count(std::size_t Route, bool IsCandidate, bool Failed,
                        Duration Latency) {
  RouteTotals &Totals = *this->ByRoute[Route];
  (IsCandidate ? Totals.Candidate : Totals.Baseline).count(Failed, Latency);
}

void SessionNode::receive(const SentDecision &Newest) {
  if (Newest.Decided <= this->Followed.Decided)
    return;
  if (Newest.Move != this->Followed.Move) {
    for (RouteTotals *Totals : this->ByRoute)
      *Totals = {};
    this->Reflex = *LocalShareLimiter::create(this->Routes);
  }
  this->Followed = Newest;
  this->Reflex.follow(Newest.Decided, Newest.Candidate);
}

void SessionNode::reflect(Instant Now) {
  if (this->HasReflex)
    this->Reflex.step(Now, this->Totals);
}

std::vector<Observation> SessionNode::report() const {
  std::vector<Observation> All;
  Incarnation Process(this->Followed.Move + 1);
  for (const auto &[Route, Counts] : this->Totals) {
    All.push_back(
        {this->Name, Process, service(), baseline(), Route, Counts.Baseline});
    All.push_back(
        {this->Name, Process, service(), candidate(), Route, Counts.Candidate});
  }
  return All;
}

const ServiceName &SessionNode::service() {
  static const ServiceName Name("orders");
  return Name;
}

const VersionName &SessionNode::baseline() {
  static const VersionName Name("v1");
  return Name;
}

const VersionName &SessionNode::candidate() {
  static const VersionName Name("v2");
  return Name;
}

} // namespace amaranthward
