#include "libdistribution/parentselector.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Larger exponents only matter beyond any sensible maximum back-off.
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
  if (SameFirst && this->Position < this->choices() &&
      this->current().Address == Before.Address)
    return;
  this->Position = 0;
  this->BehindSince.reset();
}

void ParentSelector::setControl(const std::vector<Endpoint> &Replicas) {
  if (Replicas.empty() || Replicas == this->Control)
    return;
  this->Control = Replicas;
  this->Position = std::min(this->Position, this->choices() - 1);
}

std::vector<Endpoint> ParentSelector::controlOrder() const {
  std::vector<Endpoint> Order;
  if (!this->Leader.empty())
    Order.push_back(this->Leader);
  for (const Endpoint &One : this->Control)
    if (One != this->Leader)
      Order.push_back(One);
  return Order;
}

std::size_t ParentSelector::choices() const {
  return this->Candidates.size() + this->controlOrder().size() +
         this->OtherRoots.size();
}

ParentSelector::Choice ParentSelector::current() const {
  Choice One;
  std::size_t Index = this->Position;
  if (Index < this->Candidates.size()) {
    One.Address = this->Candidates[Index].Address;
    return One;
  }
  Index -= this->Candidates.size();
  const std::vector<Endpoint> Order = this->controlOrder();
  if (Index < Order.size()) {
    One.Address = Order[Index];
    One.IsControl = true;
    One.Fallback = !this->Candidates.empty();
    return One;
  }
  Index -= Order.size();
  One.Address = this->OtherRoots.at(Index).Address;
  One.DataOnly = true;
  return One;
}

ParentSelector::Choice ParentSelector::control() const {
  Choice One;
  One.Address = this->controlOrder().front();
  One.IsControl = true;
  return One;
}

Duration ParentSelector::failed(Instant Now) {
  const std::size_t FirstControl = this->Candidates.size();
  if (this->Position == 0)
    this->LeftFirstAt = Now;
  this->BehindSince.reset();
  // A wrong hint must not be tried first again.
  if (this->current().IsControl && this->current().Address == this->Leader) {
    this->controlFailed();
  } else if (++this->Position == FirstControl) {
    if (Now < this->NextControlAt)
      this->Position = this->choices();
    else
      this->NextControlAt = Now + this->jittered(this->Options.ControlInterval);
  }
  if (this->Position < this->choices())
    return this->jittered(this->Options.MinBackOff);
  this->Position = 0;
  this->FailedRounds = std::min(this->FailedRounds + 1, MaxBackOffDoublings);
  const Duration Whole =
      this->Options.MinBackOff * (std::int64_t(1) << this->FailedRounds);
  return this->jittered(std::min(Whole, this->Options.MaxBackOff));
}

void ParentSelector::succeeded(Instant Now) {
  this->BehindSince.reset();
  if (this->current().DataOnly) {
    // Only a way to catch up: the control replicas come first again.
    this->Position = 0;
    return;
  }
  this->FailedRounds = 0;
  // Only the leader answers. Found by trial it may be the last in the order;
  // when it fails, the replicas before it are asked again first.
  if (const Choice One = this->current(); One.IsControl)
    this->leaderHint(One.Address);
  if (this->Position > 0 && !this->Candidates.empty() &&
      Now - this->LeftFirstAt >= this->Options.ReturnInterval)
    this->Position = 0;
}

Duration ParentSelector::behind(Instant Now) {
  if (!this->BehindSince)
    this->BehindSince = Now;
  if (Now - *this->BehindSince < this->Options.MaxParentLag)
    return Duration::zero();
  return this->failed(Now);
}

void ParentSelector::leaderHint(const Endpoint &NewLeader) {
  this->Leader = NewLeader;
  if (this->current().IsControl || this->current().DataOnly)
    this->Position = this->Candidates.size();
}

void ParentSelector::controlFailed() {
  if (!this->Leader.empty()) {
    // A leader that fell silent is asked last, because each try takes as long
    // as it takes to notice the silence.
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

Duration ParentSelector::jittered(Duration Whole) const {
  const auto Half = static_cast<std::uint64_t>(Whole.count() / 2);
  return Duration(Half + this->Random() % (Half + 1));
}

} // namespace amaranthward
