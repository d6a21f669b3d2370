#include "libdistribution/sessiontable.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Bounds memory and the member stream after a restart of everything.
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
  for (const DepartedMember &One : departedIn(Members.resources()))
    this->recordDeparture(One, Cause::Replaced, 0, Now);
  Members.beginEpoch({NewEpoch.value(), 0});
}

void SessionTable::restartGrace(Instant Now) {
  this->GraceEnds = std::max(this->GraceEnds, Now + this->Options.Expiry);
}

Urgency SessionTable::absorb(const UplinkBatch &Batch, Instant Now) {
  this->noteActivity(Now);
  Urgency How = Urgency::None;
  for (const auto &[Node, One] : Batch.announcements())
    How = std::max(How, this->announce(One, Now));
  if (!Batch.renewals().empty()) {
    // Silence from every session is a fault of the leader's own connection.
    if (Now - this->LastRenewal > this->Options.OutageAfter)
      this->restartGrace(Now);
    this->LastRenewal = Now;
  }
  for (const auto &[Id, One] : Batch.renewals()) {
    auto Found = this->Sessions.find(Id);
    if (Found == this->Sessions.end())
      continue;
    Found->second.Renewed = Now;
    Found->second.InForce = std::max(Found->second.InForce, One.InForce);
  }
  return How;
}

bool SessionTable::mayAnnounce(const Announcement &Subject, Instant Now) const {
  auto Found = this->Departures.find(Subject.Subject.Start);
  if (Found == this->Departures.end())
    return true;
  const Departure &Earlier = Found->second;
  if (Earlier.Why == Cause::Gone || Subject.Sequence <= Earlier.Sequence)
    return false;
  if (Earlier.Why == Cause::Expired)
    return true;
  const Session *Holder = this->sessionOf(Subject.Subject.Node);
  return !Holder || Now - Holder->Renewed >= this->Options.ReclaimAfter;
}

Urgency SessionTable::announce(const Announcement &Subject, Instant Now) {
  const Member &Next = Subject.Subject;
  if (!this->mayAnnounce(Subject, Now))
    return Urgency::None;
  const Session *Holder = this->sessionOf(Next.Node);
  const bool SameProcess = Holder && Holder->Subject.Start == Next.Start;
  if (SameProcess && Subject.Sequence <= Holder->Sequence)
    return Urgency::None;
  if (Subject.Gone) {
    if (SameProcess)
      this->depart(this->ByNode.at(Next.Node), Cause::Gone, Now);
    else
      this->recordDeparture(
          {Next.Node, Next.Start, Next.Service, Next.PeerAddress}, Cause::Gone,
          Subject.Sequence, Now);
    return Urgency::Immediate;
  }
  const bool Replaces = Holder && !SameProcess;
  const bool Changed = !SameProcess || Holder->Subject != Next;
  const Revision InForce = SameProcess ? Holder->InForce : Revision();
  if (Replaces)
    this->depart(this->ByNode.at(Next.Node), Cause::Replaced, Now);
  else if (SameProcess)
    this->Sessions.erase(this->ByNode.at(Next.Node));
  this->revive(Next);
  this->Sessions[Subject.Session] = {Next.Node, Subject.Sequence, Next, InForce,
                                     Now};
  this->ByNode[Next.Node] = Subject.Session;
  if (!Changed)
    return Urgency::None;
  this->Unpublished[memberKey(Next.Node)] = memberToJson(Next);
  return Next.Leaving || Replaces ? Urgency::Immediate : Urgency::Soon;
}

void SessionTable::revive(const Member &Subject) {
  auto Found = this->Departures.find(Subject.Start);
  if (Found == this->Departures.end())
    return;
  this->Unpublished[departedKey(Found->second.Subject)] = std::nullopt;
  this->Departures.erase(Found);
}

void SessionTable::depart(SessionId Id, Cause Why, Instant Now) {
  auto Node = this->Sessions.extract(Id);
  const Member &Subject = Node.mapped().Subject;
  this->ByNode.erase(Subject.Node);
  this->Unpublished[memberKey(Subject.Node)] = std::nullopt;
  this->recordDeparture(
      {Subject.Node, Subject.Start, Subject.Service, Subject.PeerAddress}, Why,
      Node.mapped().Sequence, Now);
}

void SessionTable::recordDeparture(const DepartedMember &Subject, Cause Why,
                                   std::uint64_t Sequence, Instant Now) {
  this->Departures[Subject.Start] = {Subject, Why, Sequence, Now};
  this->Unpublished[departedKey(Subject)] = departedToJson(Subject);
  if (this->Departures.size() <= MaxDepartures)
    return;
  auto Oldest =
      std::min_element(this->Departures.begin(), this->Departures.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.When < Right.second.When;
                       });
  this->Unpublished[departedKey(Oldest->second.Subject)] = std::nullopt;
  this->Departures.erase(Oldest);
}

void SessionTable::noteActivity(Instant Now) {
  if (Now - this->LastActive > this->Options.OutageAfter)
    this->restartGrace(Now);
  this->LastActive = Now;
}

Urgency SessionTable::tick(Instant Now) {
  this->noteActivity(Now);
  for (auto It = this->Departures.begin(); It != this->Departures.end();) {
    if (Now - It->second.When < this->Options.Retention) {
      ++It;
      continue;
    }
    this->Unpublished[departedKey(It->second.Subject)] = std::nullopt;
    It = this->Departures.erase(It);
  }
  const bool Silent = Now - this->LastRenewal > this->Options.OutageAfter;
  if (!this->complete(Now) || Silent)
    return Urgency::None;
  std::vector<SessionId> Expired;
  for (const auto &[Id, One] : this->Sessions)
    if (Now - One.Renewed >= this->Options.Expiry)
      Expired.push_back(Id);
  for (SessionId Id : Expired)
    this->depart(Id, Cause::Expired, Now);
  return Expired.empty() ? Urgency::None : Urgency::Soon;
}

bool SessionTable::publish(ResourceTable &Members, Instant Now) {
  const bool Completes = this->complete(Now) && !Members.complete();
  if (Completes)
    this->departUnconfirmed(Members, Now);
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

void SessionTable::departUnconfirmed(const ResourceTable &Members,
                                     Instant Now) {
  for (const Member &One : membersIn(Members.resources())) {
    const bool Confirmed =
        Members.versionOf(memberKey(One.Node))->Epoch == this->Epoch.value() ||
        this->Unpublished.contains(memberKey(One.Node));
    if (!Confirmed)
      this->recordDeparture({One.Node, One.Start, One.Service, One.PeerAddress},
                            Cause::Expired, 0, Now);
  }
}

InForceCount SessionTable::inForce(Revision Newest) const {
  InForceCount Count;
  Count.Known = this->Sessions.size();
  for (const auto &[Id, One] : this->Sessions)
    Count.InForce += One.InForce >= Newest ? 1 : 0;
  return Count;
}

std::map<Revision, std::size_t> SessionTable::histogram() const {
  std::map<Revision, std::size_t> Counts;
  for (const auto &[Id, One] : this->Sessions)
    ++Counts[One.InForce];
  return Counts;
}

std::vector<DepartedMember> SessionTable::departed() const {
  std::vector<DepartedMember> All;
  for (const auto &[Start, One] : this->Departures)
    All.push_back(One.Subject);
  return All;
}

const SessionTable::Session *
SessionTable::sessionOf(const NodeName &Node) const {
  auto Found = this->ByNode.find(Node);
  return Found == this->ByNode.end() ? nullptr
                                     : &this->Sessions.at(Found->second);
}

} // namespace amaranthward
