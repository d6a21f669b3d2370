#include "libdistribution/revisionguard.h"

#include <algorithm>

namespace amaranthward {

Result<RevisionGuard> RevisionGuard::create(RevisionGuardOptions Options,
                                            Instant Started) {
  std::vector<NodeName> Names = Options.Witnesses;
  std::sort(Names.begin(), Names.end());
  if (std::adjacent_find(Names.begin(), Names.end()) != Names.end())
    return fail(ErrorCode::InvalidArgument,
                "the list of witnesses contains a duplicate");
  RevisionGuard Guard(std::move(Options), Started);
  Guard.Cluster = Guard.Options.Expected;
  return Guard;
}

Result<void> RevisionGuard::mayApply(const ClusterId &Next,
                                     Revision Number) const {
  if (Next.empty())
    return fail(ErrorCode::InvalidArgument, "the cluster id is empty");
  if (!this->Cluster.empty() && Next != this->Cluster)
    return fail(ErrorCode::Conflict, "cluster id " + Next.str() +
                                         " differs from " +
                                         this->Cluster.str());
  if (Number < this->InForce)
    return fail(ErrorCode::Stale, "revision " + std::to_string(Number.value()) +
                                      " is below " +
                                      std::to_string(this->InForce.value()) +
                                      ", which is in force");
  return {};
}

void RevisionGuard::recordApplied(const ClusterId &Next, Revision Number) {
  this->Cluster = Next;
  this->InForce = std::max(this->InForce, Number);
  this->updateServing();
}

void RevisionGuard::recordConfirmed(const ClusterId &From, Revision Current) {
  this->Confirmed = {From, Current};
  this->updateServing();
}

Result<void> RevisionGuard::recordWitnessAnswer(const NodeName &From,
                                                const WitnessAnswer &Answer,
                                                Instant Now) {
  const auto &Names = this->Options.Witnesses;
  if (std::find(Names.begin(), Names.end(), From) == Names.end())
    return fail(ErrorCode::NotFound,
                "node " + From.str() + " is not a configured witness");
  if (!Answer.Safe || Answer.Cluster.empty() ||
      Now - this->Started < this->Options.SettleTime)
    return {};
  this->Answers[From] = Answer;
  this->updateServing();
  return {};
}

std::vector<NodeName> RevisionGuard::missingWitnesses() const {
  std::vector<NodeName> Missing;
  for (const NodeName &Name : this->Options.Witnesses)
    if (!this->Answers.contains(Name))
      Missing.push_back(Name);
  return Missing;
}

Result<Revision> RevisionGuard::safeRevision() const {
  if (this->Confirmed) {
    if (this->Confirmed->first == this->Cluster)
      return this->Confirmed->second;
    return fail(ErrorCode::Conflict,
                "the leader's cluster id " + this->Confirmed->first.str() +
                    " differs from " + this->Cluster.str());
  }
  if (this->Options.Witnesses.empty())
    return fail(
        ErrorCode::Unavailable,
        "no leader has confirmed a revision and no witness is configured");
  const std::vector<NodeName> Missing = this->missingWitnesses();
  if (!Missing.empty()) {
    std::string Names;
    for (const NodeName &Name : Missing)
      Names += (Names.empty() ? "" : ", ") + Name.str();
    return fail(ErrorCode::Unavailable,
                "no leader has confirmed a revision, and these witnesses have "
                "not answered with a safe revision: " +
                    Names);
  }
  Revision Highest;
  for (const auto &[Name, Answer] : this->Answers) {
    if (Answer.Cluster != this->Cluster)
      return fail(ErrorCode::Conflict,
                  "witness " + Name.str() + " has cluster id " +
                      Answer.Cluster.str() + " and not " + this->Cluster.str());
    Highest = std::max(Highest, Answer.InForce);
  }
  return Highest;
}

void RevisionGuard::updateServing() {
  this->Serving |= this->waitReason().empty();
}

std::string RevisionGuard::waitReason() const {
  if (this->Serving)
    return {};
  if (this->InForce == Revision())
    return "no revision is in force";
  auto Safe = this->safeRevision();
  if (!Safe)
    return Safe.error().Message;
  if (this->InForce < *Safe)
    return "revision " + std::to_string(this->InForce.value()) +
           " is in force, but the lowest safe revision is " +
           std::to_string(Safe->value());
  return {};
}

} // namespace amaranthward
