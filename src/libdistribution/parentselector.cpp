#include "libdistribution/parentselector.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Bounds the shift: MinBackOff * 2^16 exceeds any practical maximum back-off.
constexpr std::uint32_t MaxBackOffDoublings = 16;

} // namespace

ParentSelector::ParentSelector(std::vector<Endpoint> ControlReplicas,
                               const std::vector<ParentCandidate> &Witnesses,
                               ParentSelectorOptions Options,
                               RandomFunction Random)
    : Control(std::move(ControlReplicas)), Options(Options),
      Random(std::move(Random)), OtherRoots(Witnesses) {}

void ParentSelector::setCandidates(std::vector<ParentCandidate> NewCandidates,
                                   std::vector<ParentCandidate> NewOtherRoots) {
  const bool SameFirst = this->Candidates.empty() == NewCandidates.empty() &&
                         (NewCandidates.empty() ||
                          this->Candidates.front() == NewCandidates.front());
  const Choice Before = this->current();
  this->Candidates = std::move(NewCandidates);
  if (!NewOtherRoots.empty())
    this->OtherRoots = std::move(NewOtherRoots);
  if (SameFirst && this->Position < this->choiceCount() &&
      this->current().Address == Before.Address)
    return;
  this->Position = 0;
  this->BehindSince.reset();
}

void ParentSelector::setControl(const std::vector<Endpoint> &Replicas) {
  if (Replicas.empty() || Replicas == this->Control)
    return;
  this->Control = Replicas;
  this->Position = std::min(this->Position, this->choiceCount() - 1);
}

std::vector<Endpoint> ParentSelector::controlOrder() const {
  std::vector<Endpoint> Order;
  if (!this->Leader.empty())
    Order.push_back(this->Leader);
  for (const Endpoint &Replica : this->Control)
    if (Replica != this->Leader)
      Order.push_back(Replica);
  return Order;
}

std::size_t ParentSelector::choiceCount() const {
  return this->Candidates.size() + this->controlOrder().size() +
         this->OtherRoots.size();
}

ParentSelector::Choice ParentSelector::current() const {
  Choice Selected;
  std::size_t Index = this->Position;
  if (Index < this->Candidates.size()) {
    Selected.Address = this->Candidates[Index].Address;
    return Selected;
  }
  Index -= this->Candidates.size();
  const std::vector<Endpoint> Order = this->controlOrder();
  if (Index < Order.size()) {
    Selected.Address = Order[Index];
    Selected.IsControl = true;
    Selected.Fallback = !this->Candidates.empty();
    return Selected;
  }
  Index -= Order.size();
  Selected.Address = this->OtherRoots.at(Index).Address;
  Selected.DataOnly = true;
  return Selected;
}

ParentSelector::Choice ParentSelector::control() const {
  Choice Selected;
  Selected.Address = this->controlOrder().front();
  Selected.IsControl = true;
  return Selected;
}

Duration ParentSelector::reportFailure(Instant Now) {
  const std::size_t FirstControl = this->Candidates.size();
  if (this->Position == 0)
    this->FirstChoiceFailedAt = Now;
  this->BehindSince.reset();
  // Drop a leader hint that failed, so that it is not tried first again.
  if (this->current().IsControl && this->current().Address == this->Leader) {
    this->reportControlFailure();
  } else if (++this->Position == FirstControl) {
    if (Now < this->NextControlAt)
      this->Position = this->choiceCount();
    else
      this->NextControlAt = Now + this->jittered(this->Options.ControlInterval);
  }
  if (this->Position < this->choiceCount())
    return this->jittered(this->Options.MinBackOff);
  this->Position = 0;
  this->FailedRounds = std::min(this->FailedRounds + 1, MaxBackOffDoublings);
  const Duration MaxDelay =
      this->Options.MinBackOff * (std::int64_t(1) << this->FailedRounds);
  return this->jittered(std::min(MaxDelay, this->Options.MaxBackOff));
}

void ParentSelector::reportSuccess(Instant Now) {
  this->BehindSince.reset();
  if (this->current().DataOnly) {
    // Another root only serves to catch up: restart with the first choice.
    this->Position = 0;
    return;
  }
  this->FailedRounds = 0;
  // Only the leader answers. Without a hint it may be the last replica in the
  // order; moving it first means that all other replicas are tried when it
  // fails.
  if (const Choice Used = this->current(); Used.IsControl)
    this->setLeaderHint(Used.Address);
  if (this->Position > 0 && !this->Candidates.empty() &&
      Now - this->FirstChoiceFailedAt >= this->Options.ReturnInterval)
    this->Position = 0;
}

Duration ParentSelector::reportBehind(Instant Now) {
  if (!this->BehindSince)
    this->BehindSince = Now;
  if (Now - *this->BehindSince < this->Options.MaxParentLag)
    return Duration::zero();
  return this->reportFailure(Now);
}

void ParentSelector::setLeaderHint(const Endpoint &NewLeader) {
  this->Leader = NewLeader;
  if (this->current().IsControl || this->current().DataOnly)
    this->Position = this->Candidates.size();
}

void ParentSelector::reportControlFailure() {
  if (!this->Leader.empty()) {
    // Ask a leader that stopped answering last, because each attempt costs a
    // full answer timeout.
    auto Former =
        std::find(this->Control.begin(), this->Control.end(), this->Leader);
    if (Former != this->Control.end())
      std::rotate(Former, Former + 1, this->Control.end());
    this->Leader = Endpoint();
    return;
  }
  std::rotate(this->Control.begin(), this->Control.begin() + 1,
              this->Control.end());
}

Duration ParentSelector::jittered(Duration MaxDelay) const {
  const auto Half = static_cast<std::uint64_t>(MaxDelay.count() / 2);
  return Duration(Half + this->Random() % (Half + 1));
}

} // namespace amaranthward
