#include "libproxy/claimtable.h"

#include <algorithm>

namespace amaranthward {

ClaimReply ClaimTable::handle(const ClaimCommand &Order, Instant Now) {
  this->expire(Now);
  if (Order.Holder != this->Ranking.self())
    return {ClaimReply::Kind::NotHolder, {}};
  if (Order.What == ClaimCommand::Kind::Claim)
    return this->claim(Order, Now);
  auto Found = this->Claims.find({Order.Service, Order.Key});
  if (Found == this->Claims.end())
    return {ClaimReply::Kind::NotHolder, {}};
  ClaimRecord &Held = Found->second.Record;
  if (Order.What == ClaimCommand::Kind::Yield) {
    if (Order.From && Held.Id == *Order.From)
      Held = Order.Record;
    return {ClaimReply::Kind::Known, Held};
  }
  if (Held.Id != Order.Record.Id)
    return {ClaimReply::Kind::Known, Held};
  this->erase(Found);
  return {ClaimReply::Kind::NotHolder, {}};
}

ClaimReply ClaimTable::claim(const ClaimCommand &Order, Instant Now) {
  if (Order.Key.size() > MaxKeyBytes ||
      !this->Ranking.isHolder(Order.Service, Order.Key, Now))
    return {ClaimReply::Kind::NotHolder, {}};
  ClaimKey Key(Order.Service, Order.Key);
  auto Found = this->Claims.find(Key);
  if (Found == this->Claims.end()) {
    // An unexpired claim is never dropped to make room, because its key could
    // then be claimed twice.
    if (this->Claims.size() >= this->MaxClaims)
      return {ClaimReply::Kind::Full, {}};
    Found = this->Claims.emplace(Key, Claim{Order.Record, Instant()}).first;
    return this->grant(Order, Key, Found->second, Now);
  }
  ClaimRecord &Held = Found->second.Record;
  bool IsOwn =
      Held.Id == Order.Record.Id || (Order.From && Held.Id == *Order.From);
  if (!IsOwn)
    return {ClaimReply::Kind::Known, Held};
  Held = Order.Record;
  return this->grant(Order, Key, Found->second, Now);
}

ClaimReply ClaimTable::grant(const ClaimCommand &Order, const ClaimKey &Key,
                             Claim &Held, Instant Now) {
  Duration Running =
      std::clamp(Order.TimeLeft, Duration::zero(), this->Times.MaxCallDuration);
  this->extend(Key, Held, Now + Running + this->Times.Retention);
  bool Mature = this->Ranking.isMature(Order.Service, Now);
  return {Mature ? ClaimReply::Kind::Granted : ClaimReply::Kind::Young,
          Held.Record};
}

void ClaimTable::extend(const ClaimKey &Key, Claim &Held, Instant Until) {
  if (Until <= Held.Until)
    return;
  this->Expiries.erase({Held.Until, Key});
  Held.Until = Until;
  this->Expiries.emplace(Until, Key);
}

void ClaimTable::erase(std::map<ClaimKey, Claim>::iterator Found) {
  this->Expiries.erase({Found->second.Until, Found->first});
  this->Claims.erase(Found);
}

void ClaimTable::expire(Instant Now) {
  while (!this->Expiries.empty() && this->Expiries.begin()->first <= Now) {
    this->Claims.erase(this->Expiries.begin()->second);
    this->Expiries.erase(this->Expiries.begin());
  }
}

} // namespace amaranthward
