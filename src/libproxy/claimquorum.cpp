#include "libproxy/claimquorum.h"

#include <algorithm>
#include <map>

namespace amaranthward {

ClaimQuorum::ClaimQuorum(ClaimCommand Command, std::vector<ClaimHolder> Holders)
    : Wanted(std::move(Command)), Holders(std::move(Holders)),
      Slots(this->Holders.size()) {
  this->Wanted.Type = ClaimCommand::Kind::Claim;
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::start() {
  std::vector<Outgoing> Commands;
  ++this->Rounds;
  if (this->Slots.size() < Majority) {
    this->Decided = Outcome{Outcome::Kind::Unknown, {}};
    return Commands;
  }
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    this->Slots[Holder].Waiting = true;
    Commands.push_back(this->commandTo(Holder, ClaimCommand::Kind::Claim));
  }
  return Commands;
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
                      [](const Slot &Each) { return Each.Waiting; });
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
  // This request has the lowest id, or too few holders replied. In a later
  // round the competing requests may have transferred their claims.
  return this->Rounds >= MaxRounds ? this->giveUp() : std::vector<Outgoing>();
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::retry() {
  std::vector<Outgoing> Commands;
  if (!this->roundEnded())
    return Commands;
  ++this->Rounds;
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    Slot &Each = this->Slots[Holder];
    if (Each.Last && Each.Last->Type == ClaimReply::Kind::Granted)
      continue;
    Each.Waiting = true;
    Commands.push_back(this->commandTo(Holder, ClaimCommand::Kind::Claim));
  }
  return Commands;
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
  auto Commands = this->ownClaims(ClaimCommand::Kind::Transfer);
  for (Outgoing &Each : Commands) {
    Each.Command.PreviousId = this->Wanted.Record.Id;
    Each.Command.Record = Rival;
  }
  return Commands;
}

std::vector<ClaimQuorum::Outgoing> ClaimQuorum::release() const {
  return this->ownClaims(ClaimCommand::Kind::Release);
}

// Includes holders without a reply, which may have recorded the claim although
// their reply was lost.
std::vector<ClaimQuorum::Outgoing>
ClaimQuorum::ownClaims(ClaimCommand::Kind Type) const {
  std::vector<Outgoing> Commands;
  for (std::size_t Holder = 0; Holder < this->Slots.size(); ++Holder) {
    const Slot &Each = this->Slots[Holder];
    if (!Each.Last || Each.Last->Type != ClaimReply::Kind::Known)
      Commands.push_back(this->commandTo(Holder, Type));
  }
  return Commands;
}

ClaimQuorum::Outgoing ClaimQuorum::commandTo(std::size_t Holder,
                                             ClaimCommand::Kind Type) const {
  Outgoing Out{Holder, this->Holders[Holder].Address, this->Wanted};
  Out.Command.Holder = this->Holders[Holder].Start;
  Out.Command.Type = Type;
  return Out;
}

std::size_t ClaimQuorum::countGranted() const {
  return static_cast<std::size_t>(std::count_if(
      this->Slots.begin(), this->Slots.end(), [](const Slot &Each) {
        return Each.Last && Each.Last->Type == ClaimReply::Kind::Granted;
      }));
}

std::optional<ClaimRecord> ClaimQuorum::leadingRival(std::size_t &Count) const {
  std::map<RequestId, std::size_t> Known;
  for (const Slot &Each : this->Slots) {
    if (Each.Last && Each.Last->Type == ClaimReply::Kind::Known)
      ++Known[Each.Last->Existing.Id];
  }
  std::optional<ClaimRecord> Best;
  for (const Slot &Each : this->Slots) {
    if (!Each.Last || Each.Last->Type != ClaimReply::Kind::Known)
      continue;
    const ClaimRecord &Rival = Each.Last->Existing;
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
  for (const Slot &Each : this->Slots) {
    if (Each.Last && Each.Last->Type == ClaimReply::Kind::Known &&
        (!Lowest || Each.Last->Existing.Id < Lowest->Id))
      Lowest = Each.Last->Existing;
  }
  return Lowest;
}

} // namespace amaranthward
