#include "libproxy/claimquorum.h"

#include <algorithm>
#include <map>

namespace amaranthward {

ClaimQuorum::ClaimQuorum(ClaimCommand Order, std::vector<ClaimHolder> Holders)
    : Wanted(std::move(Order)), Holders(std::move(Holders)),
      Slots(this->Holders.size()) {
  this->Wanted.What = ClaimCommand::Kind::Claim;
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::start() {
  std::vector<Outgoing> Orders;
  ++this->Rounds;
  if (this->Slots.size() < Majority) {
    this->Decided = Outcome{Outcome::Kind::Unknown, {}};
    return Orders;
  }
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    this->Slots[Holder].Waiting = true;
    Orders.push_back(this->commandTo(Holder, ClaimCommand::Kind::Claim));
  }
  return Orders;
}

std::vector<ClaimQuorum::Outgoing>
ClaimQuorum::onReply(std::size_t Holder, const ClaimReply &Reply) {
  if (this->Decided || Holder >= this->Slots.size())
    return {};
  this->Slots[Holder].Waiting = false;
  this->Slots[Holder].Last = Reply;
  if (this->countGranted() >= Majority) {
    this->Decided = Outcome{Outcome::Kind::Granted, this->Wanted.Record};
    return {};
  }
  return this->roundEnded() ? this->conclude() : std::vector<Outgoing>();
}

bool ClaimQuorum::roundEnded() const {
  return !this->Decided &&
         std::none_of(this->Slots.begin(), this->Slots.end(),
                      [](const Slot &One) { return One.Waiting; });
}

// Called when every holder has replied and the request is not granted.
std::vector<ClaimQuorum::Outgoing> ClaimQuorum::conclude() {
  std::size_t Count = 0;
  auto Leading = this->leadingRival(Count);
  if (Leading && Count >= Majority)
    return this->transferClaimsTo(*Leading);
  auto Lowest = this->lowestRival();
  if (Lowest && Lowest->Id < this->Wanted.Record.Id)
    return this->transferClaimsTo(*Lowest);
  // This request has priority, or holders are missing; a later round may find
  // that the rivals have yielded.
  return this->Rounds >= MaxRounds ? this->giveUp() : std::vector<Outgoing>();
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::retry() {
  std::vector<Outgoing> Orders;
  if (!this->roundEnded())
    return Orders;
  ++this->Rounds;
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    Slot &One = this->Slots[Holder];
    if (One.Last && One.Last->What == ClaimReply::Kind::Granted)
      continue;
    One.Waiting = true;
    Orders.push_back(this->commandTo(Holder, ClaimCommand::Kind::Claim));
  }
  return Orders;
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::giveUp() {
  if (this->Decided)
    return {};
  auto Rival = this->lowestRival();
  this->Decided = Rival ? Outcome{Outcome::Kind::Existing, *Rival}
                        : Outcome{Outcome::Kind::Unknown, {}};
  return this->ownClaims(ClaimCommand::Kind::Release);
}

std::vector<ClaimQuorum::Outgoing>
ClaimQuorum::transferClaimsTo(const ClaimRecord &Rival) {
  this->Decided = Outcome{Outcome::Kind::Existing, Rival};
  auto Orders = this->ownClaims(ClaimCommand::Kind::Yield);
  for (Outgoing &One : Orders) {
    One.Order.From = this->Wanted.Record.Id;
    One.Order.Record = Rival;
  }
  return Orders;
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::release() const {
  return this->ownClaims(ClaimCommand::Kind::Release);
}

// To every holder that does not name a rival: a claim may have been recorded
// although its reply was lost.
std::vector<ClaimQuorum::Outgoing>
ClaimQuorum::ownClaims(ClaimCommand::Kind What) const {
  std::vector<Outgoing> Orders;
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    const Slot &One = this->Slots[Holder];
    if (!One.Last || One.Last->What != ClaimReply::Kind::Known)
      Orders.push_back(this->commandTo(Holder, What));
  }
  return Orders;
}

ClaimQuorum::Outgoing ClaimQuorum::commandTo(std::size_t Holder,
                                             ClaimCommand::Kind What) const {
  Outgoing Out{Holder, this->Holders[Holder].Address, this->Wanted};
  Out.Order.Holder = this->Holders[Holder].Start;
  Out.Order.What = What;
  return Out;
}

std::size_t ClaimQuorum::countGranted() const {
  return static_cast<std::size_t>(std::count_if(
      this->Slots.begin(), this->Slots.end(), [](const Slot &One) {
        return One.Last && One.Last->What == ClaimReply::Kind::Granted;
      }));
}

std::optional<ClaimRecord> ClaimQuorum::leadingRival(std::size_t &Count) const {
  std::map<RequestId, std::size_t> Known;
  for (const Slot &One : this->Slots) {
    if (One.Last && One.Last->What == ClaimReply::Kind::Known)
      ++Known[One.Last->Existing.Id];
  }
  std::optional<ClaimRecord> Best;
  for (const Slot &One : this->Slots) {
    if (!One.Last || One.Last->What != ClaimReply::Kind::Known)
      continue;
    const ClaimRecord &Rival = One.Last->Existing;
    if (!Best || Known[Rival.Id] > Count ||
        (Known[Rival.Id] == Count && Rival.Id < Best->Id)) {
      Best = Rival;
      Count = Known[Rival.Id];
    }
  }
  return Best;
}

std::optional<ClaimRecord> ClaimQuorum::lowestRival() const {
  std::optional<ClaimRecord> Lowest;
  for (const Slot &One : this->Slots) {
    if (One.Last && One.Last->What == ClaimReply::Kind::Known &&
        (!Lowest || One.Last->Existing.Id < Lowest->Id))
      Lowest = One.Last->Existing;
  }
  return Lowest;
}

} // namespace amaranthward
