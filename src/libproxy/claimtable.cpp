#include "libproxy/claimtable.h"

#include <algorithm>

namespace amaranthward {

ClaimReply ClaimTable::handle(const ClaimCommand &Command, Instant Now) {
  this->expire(Now);
  if (Command.Holder != this->Ranking.self())
    return {ClaimReply::Kind::NotHolder, {}};
  if (Command.Type == ClaimCommand::Kind::Claim)
    return this->claim(Command, Now);
  auto Found = this->Claims.find({Command.Service, Command.Key});
  if (Found == this->Claims.end())
    return {ClaimReply::Kind::NotHolder, {}};
  ClaimRecord &Held = Found->second.Record;
  if (Command.Type == ClaimCommand::Kind::Transfer) {
    if (Command.PreviousId && Held.Id == *Command.PreviousId)
      Held = Command.Record;
    return {ClaimReply::Kind::Known, Held};
  }
  if (Held.Id != Command.Record.Id)
    return {ClaimReply::Kind::Known, Held};
  this->erase(Found);
  return {ClaimReply::Kind::NotHolder, {}};
}

ClaimReply ClaimTable::claim(const ClaimCommand &Command, Instant Now) {
  if (Command.Key.size() > MaxKeyBytes ||
      !this->Ranking.isHolder(Command.Service, Command.Key, Now))
    return {ClaimReply::Kind::NotHolder, {}};
  ClaimKey Key(Command.Service, Command.Key);
  auto Found = this->Claims.find(Key);
  if (Found == this->Claims.end()) {
    // An unexpired claim is never dropped to make room, because its key could
    // then be claimed twice.
    if (this->Claims.size() >= this->MaxClaims)
      return {ClaimReply::Kind::Full, {}};
    Found = this->Claims.emplace(Key, Claim{Command.Record, Instant()}).first;
    return this->grant(Command, Key, Found->second, Now);
  }
  ClaimRecord &Held = Found->second.Record;
  bool IsOwn = Held.Id == Command.Record.Id ||
               (Command.PreviousId && Held.Id == *Command.PreviousId);
  if (!IsOwn)
    return {ClaimReply::Kind::Known, Held};
  Held = Command.Record;
  return this->grant(Command, Key, Found->second, Now);
}

ClaimReply ClaimTable::grant(const ClaimCommand &Command, const ClaimKey &Key,
                             Claim &Held, Instant Now) {
  Duration Running = std::clamp(Command.TimeLeft, Duration::zero(),
                                this->Times.MaxCallDuration);
  this->extend(Key, Held, Now + Running + this->Times.Retention);
  bool Mature = this->Ranking.isMature(Command.Service, Now);
  return {Mature ? ClaimReply::Kind::Granted : ClaimReply::Kind::Immature,
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
