#include "libdistribution/sessiontable.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Bounds memory and the size of the member table when all nodes restart.
constexpr std::size_t MaxDepartures = 4096;

} // namespace

Result<std::unique_ptr<SessionTable>>
SessionTable::create(SessionOptions Options) {
  if (Options.Expiry <= Duration::zero() ||
      Options.OutageAfter >= Options.Expiry)
    return fail(ErrorCode::InvalidArgument,
                "the expiry time must be above the outage time");
  return std::unique_ptr<SessionTable>(new SessionTable(Options));
}

void SessionTable::becomeLeader(Term NewEpoch, ResourceTable &Members,
                                Instant Now) {
  this->Epoch = NewEpoch;
  this->LastSequence = 0;
  this->Sessions.clear();
  this->ByNode.clear();
  this->Unpublished.clear();
  this->Departures.clear();
  this->LastActive = Now;
  this->LastRenewal = Now;
  this->GraceEnds = Now + this->Options.Expiry;
  for (const DepartedMember &Departed : departedIn(Members.resources()))
    this->recordDeparture(Departed, DepartureCause::Replaced, 0, Now);
  Members.beginEpoch({NewEpoch.value(), 0});
}

void SessionTable::restartGrace(Instant Now) {
  this->GraceEnds = std::max(this->GraceEnds, Now + this->Options.Expiry);
}

Urgency SessionTable::applyUplink(const UplinkBatch &Batch, Instant Now) {
  this->extendGraceAfterOutage(Now);
  Urgency BatchUrgency = Urgency::None;
  for (const auto &[Node, Received] : Batch.announcements())
    BatchUrgency = std::max(BatchUrgency, this->announce(Received, Now));
  if (!Batch.renewals().empty()) {
    // No renewal from any session indicates a fault of the leader's own
    // connection.
    if (Now - this->LastRenewal > this->Options.OutageAfter)
      this->restartGrace(Now);
    this->LastRenewal = Now;
  }
  for (const auto &[Id, Received] : Batch.renewals()) {
    auto Found = this->Sessions.find(Id);
    if (Found == this->Sessions.end())
      continue;
    Found->second.RenewedAt = Now;
    Found->second.InForce = std::max(Found->second.InForce, Received.InForce);
  }
  return BatchUrgency;
}

bool SessionTable::acceptsAnnouncement(const Announcement &Received,
                                       Instant Now) const {
  auto Found = this->Departures.find(Received.Announced.Start);
  if (Found == this->Departures.end())
    return true;
  const Departure &Earlier = Found->second;
  if (Earlier.Cause == DepartureCause::Left ||
      Received.Sequence <= Earlier.Sequence)
    return false;
  if (Earlier.Cause == DepartureCause::Expired)
    return true;
  const Session *Holder = this->findSession(Received.Announced.Node);
  return !Holder || Now - Holder->RenewedAt >= this->Options.ReclaimAfter;
}

Urgency SessionTable::announce(const Announcement &Received, Instant Now) {
  const Member &Next = Received.Announced;
  if (!this->acceptsAnnouncement(Received, Now))
    return Urgency::None;
  const Session *Holder = this->findSession(Next.Node);
  const bool SameProcess = Holder && Holder->Announced.Start == Next.Start;
  if (SameProcess && Received.Sequence <= Holder->Sequence)
    return Urgency::None;
  if (Received.EndsSession) {
    if (SameProcess)
      this->endSession(this->ByNode.at(Next.Node), DepartureCause::Left, Now);
    else
      this->recordDeparture(
          {Next.Node, Next.Start, Next.Service, Next.PeerAddress},
          DepartureCause::Left, Received.Sequence, Now);
    return Urgency::Immediate;
  }
  const bool Replaces = Holder && !SameProcess;
  const bool Changed = !SameProcess || Holder->Announced != Next;
  const Revision InForce = SameProcess ? Holder->InForce : Revision();
  if (Replaces)
    this->endSession(this->ByNode.at(Next.Node), DepartureCause::Replaced, Now);
  else if (SameProcess)
    this->Sessions.erase(this->ByNode.at(Next.Node));
  this->eraseDeparture(Next);
  this->Sessions[Received.Session] = {Next.Node, Received.Sequence, Next,
                                      InForce, Now};
  this->ByNode[Next.Node] = Received.Session;
  if (!Changed)
    return Urgency::None;
  this->Unpublished[memberKey(Next.Node)] = memberToJson(Next);
  return Next.Leaving || Replaces ? Urgency::Immediate : Urgency::Soon;
}

void SessionTable::eraseDeparture(const Member &Announced) {
  auto Found = this->Departures.find(Announced.Start);
  if (Found == this->Departures.end())
    return;
  this->Unpublished[departedKey(Found->second.Departed)] = std::nullopt;
  this->Departures.erase(Found);
}

void SessionTable::endSession(SessionId Id, DepartureCause Cause, Instant Now) {
  auto Ended = this->Sessions.extract(Id);
  const Member &Last = Ended.mapped().Announced;
  this->ByNode.erase(Last.Node);
  this->Unpublished[memberKey(Last.Node)] = std::nullopt;
  this->recordDeparture({Last.Node, Last.Start, Last.Service, Last.PeerAddress},
                        Cause, Ended.mapped().Sequence, Now);
}

void SessionTable::recordDeparture(const DepartedMember &Departed,
                                   DepartureCause Cause, std::uint64_t Sequence,
                                   Instant Now) {
  this->Departures[Departed.Start] = {Departed, Cause, Sequence, Now};
  this->Unpublished[departedKey(Departed)] = departedToJson(Departed);
  if (this->Departures.size() <= MaxDepartures)
    return;
  auto Oldest = std::min_element(
      this->Departures.begin(), this->Departures.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.DepartedAt < Right.second.DepartedAt;
      });
  this->Unpublished[departedKey(Oldest->second.Departed)] = std::nullopt;
  this->Departures.erase(Oldest);
}

void SessionTable::extendGraceAfterOutage(Instant Now) {
  if (Now - this->LastActive > this->Options.OutageAfter)
    this->restartGrace(Now);
  this->LastActive = Now;
}

Urgency SessionTable::tick(Instant Now) {
  this->extendGraceAfterOutage(Now);
  for (auto It = this->Departures.begin(); It != this->Departures.end();) {
    if (Now - It->second.DepartedAt < this->Options.Retention) {
      ++It;
      continue;
    }
    this->Unpublished[departedKey(It->second.Departed)] = std::nullopt;
    It = this->Departures.erase(It);
  }
  const bool NoRenewals = Now - this->LastRenewal > this->Options.OutageAfter;
  if (!this->complete(Now) || NoRenewals)
    return Urgency::None;
  std::vector<SessionId> Expired;
  for (const auto &[Id, Live] : this->Sessions)
    if (Now - Live.RenewedAt >= this->Options.Expiry)
      Expired.push_back(Id);
  for (SessionId Id : Expired)
    this->endSession(Id, DepartureCause::Expired, Now);
  return Expired.empty() ? Urgency::None : Urgency::Soon;
}

bool SessionTable::publish(ResourceTable &Members, Instant Now) {
  const bool Completes = this->complete(Now) && !Members.complete();
  if (Completes)
    this->recordUnannounced(Members, Now);
  std::vector<ResourceChange> Changes;
  for (auto &[Key, Value] : this->Unpublished) {
    const Json *Present = Members.find(Key);
    const bool Same =
        Value ? Present && *Present == *Value &&
                    Members.versionOf(Key)->Epoch == this->Epoch.value()
              : !Present;
    if (!Same)
      Changes.push_back({Key, std::move(Value)});
  }
  this->Unpublished.clear();
  if (Changes.empty() && !Completes)
    return false;
  const TableVersion Next{this->Epoch.value(), ++this->LastSequence};
  if (!Members.apply(Changes, Next))
    return false;
  if (Completes)
    Members.markComplete(Next);
  return true;
}

void SessionTable::recordUnannounced(const ResourceTable &Members,
                                     Instant Now) {
  for (const Member &Shown : membersIn(Members.resources())) {
    const bool Announced = Members.versionOf(memberKey(Shown.Node))->Epoch ==
                               this->Epoch.value() ||
                           this->Unpublished.contains(memberKey(Shown.Node));
    if (!Announced)
      this->recordDeparture(
          {Shown.Node, Shown.Start, Shown.Service, Shown.PeerAddress},
          DepartureCause::Expired, 0, Now);
  }
}

InForceCount SessionTable::inForce(Revision Newest) const {
  InForceCount Count;
  Count.Known = this->Sessions.size();
  for (const auto &[Id, Live] : this->Sessions)
    Count.InForce += Live.InForce >= Newest ? 1 : 0;
  return Count;
}

std::map<Revision, std::size_t> SessionTable::histogram() const {
  std::map<Revision, std::size_t> Counts;
  for (const auto &[Id, Live] : this->Sessions)
    ++Counts[Live.InForce];
  return Counts;
}

std::vector<DepartedMember> SessionTable::departed() const {
  std::vector<DepartedMember> Retained;
  for (const auto &[Start, Recorded] : this->Departures)
    Retained.push_back(Recorded.Departed);
  return Retained;
}

const SessionTable::Session *
SessionTable::findSession(const NodeName &Node) const {
  auto Found = this->ByNode.find(Node);
  return Found == this->ByNode.end() ? nullptr
                                     : &this->Sessions.at(Found->second);
}

} // namespace amaranthward
