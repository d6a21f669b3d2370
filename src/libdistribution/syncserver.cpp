#include "libdistribution/syncserver.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Sessions whose last acknowledgement is remembered before all are forgotten;
// forgetting costs one early request per session.
constexpr std::size_t MaxRememberedSessions = 8192;

Urgency urgencyOf(const Announcement &Subject) {
  return Subject.Gone || Subject.Subject.Leaving ? Urgency::Immediate
                                                 : Urgency::Soon;
}

} // namespace

Result<std::unique_ptr<SyncServer>>
SyncServer::create(const DistributedState &State, SyncServerOptions Options,
                   SyncServerHooks Hooks) {
  if (Options.Hold <= Duration::zero() || Options.MaxChunkBytes == 0)
    return fail(ErrorCode::InvalidArgument,
                "the hold time and the chunk size must be above 0");
  if (!Hooks.Random)
    return fail(ErrorCode::InvalidArgument, "hook Random is not set");
  return std::unique_ptr<SyncServer>(
      new SyncServer(State, Options, std::move(Hooks)));
}

SyncServer::SyncServer(const DistributedState &State, SyncServerOptions Options,
                       SyncServerHooks Hooks)
    : State(State), Options(Options), Hooks(std::move(Hooks)),
      Joins(Options.Joins), WokenMembers(State.Members.current()) {}

void SyncServer::handle(const SyncRequest &Request, Instant Now,
                        Complete OnComplete) {
  auto Earlier = this->Parked.extract(Request.Node);
  if (!Earlier.empty()) {
    SyncResponse Empty = this->statusFor(Earlier.mapped().Request, Now);
    Earlier.mapped().OnComplete(Empty);
  }
  const Urgency How = this->collect(Request);
  if (this->Hooks.OnUplink)
    this->Hooks.OnUplink(How);
  if (!this->admit(Request, Now, OnComplete))
    return;
  ParkedRequest One{Request, Now, Now + this->Options.Hold,
                    std::move(OnComplete)};
  if (this->hasAnswer(One, Now))
    this->complete(One, Now);
  else
    this->Parked.insert_or_assign(Request.Node, std::move(One));
}

void SyncServer::abandon(const NodeName &Node, std::uint64_t Sequence) {
  auto Found = this->Parked.find(Node);
  if (Found != this->Parked.end() && Found->second.Request.Sequence == Sequence)
    this->Parked.erase(Found);
}

Urgency SyncServer::collect(const SyncRequest &Request) {
  Urgency How = Urgency::None;
  const UplinkBatch &Uplink = Request.Uplink;
  for (const auto &[Node, One] : Uplink.announcements())
    How = std::max(How, urgencyOf(One));
  if (!Uplink.refusals().empty())
    How = std::max(How, Urgency::Soon);
  if (!Uplink.observations().empty())
    How = std::max(How, Urgency::Later);
  for (const auto &[Session, One] : Uplink.renewals()) {
    Revision &Last = this->LastAcknowledged[Session];
    if (Last < One.InForce)
      How = std::max(How, Urgency::Soon);
    Last = std::max(Last, One.InForce);
  }
  this->Collected.merge(Uplink);
  return How;
}

bool SyncServer::admit(const SyncRequest &Request, Instant Now,
                       const Complete &OnComplete) {
  if (!this->LastSeen.contains(Request.Node)) {
    if (auto Wait = this->Joins.admit(Now, this->Hooks.Random)) {
      SyncResponse Refusal;
      Refusal.Sequence = Request.Sequence;
      Refusal.RetryAfter = *Wait;
      OnComplete(Refusal);
      return false;
    }
  }
  this->LastSeen[Request.Node] = Now;
  return true;
}

std::optional<Revision>
SyncServer::confirmation(const ParkedRequest &One) const {
  if (!One.Request.WantsConfirmation || !this->Hooks.ConfirmedSince)
    return std::nullopt;
  return this->Hooks.ConfirmedSince(One.Arrived);
}

std::vector<ParentCandidate>
SyncServer::parentsFor(const SyncRequest &Request) const {
  // A new leader does not know all members yet, so the tree that it sees is
  // wrong for children that already have a parent.
  const bool Trusted = this->State.Members.complete() || Request.WantsParents;
  if (!this->Hooks.ParentsFor || Request.Fallback || !Trusted)
    return {};
  return this->Hooks.ParentsFor(Request);
}

bool SyncServer::hasReplicatedNews(const SyncRequest &Request) const {
  if (this->State.Cluster.empty())
    return false;
  if (Request.Cluster.empty())
    return !Request.Refused || *Request.Refused < this->State.inForce();
  Revision Known = Request.InForce;
  if (Request.Refused)
    Known = std::max(Known, *Request.Refused);
  return Request.Cluster == this->State.Cluster &&
         this->State.inForce() > Known;
}

bool SyncServer::hasAnswer(const ParkedRequest &One, Instant Now) const {
  const SyncRequest &Request = One.Request;
  if (Now >= One.Deadline)
    return true;
  // A child that wants a confirmation would not get one from its parents.
  if (Request.WantsConfirmation && this->Hooks.ConfirmedSince)
    return this->confirmation(One).has_value();
  return this->hasReplicatedNews(Request) ||
         Request.Members < this->WokenMembers ||
         (Request.MemberCursor &&
          Request.Members < this->State.Members.current()) ||
         (Request.WantsParents && this->Hooks.ParentsFor) ||
         !this->parentsFor(Request).empty();
}

SyncResponse SyncServer::statusFor(const SyncRequest &Request,
                                   Instant Now) const {
  SyncResponse Response;
  Response.Sequence = Request.Sequence;
  Response.Cluster = this->State.Cluster;
  Response.InForce = this->State.inForce();
  Response.Members = this->State.Members.current();
  Response.Hold = this->Options.Hold;
  if (this->Hooks.SourceAge)
    Response.SourceAge = this->Hooks.SourceAge(Now);
  return Response;
}

void SyncServer::complete(const ParkedRequest &One, Instant Now) const {
  SyncResponse Response = this->statusFor(One.Request, Now);
  Response.Confirmed = this->confirmation(One);
  auto Parents = this->parentsFor(One.Request);
  const bool Redirected = !Parents.empty();
  if (Redirected || One.Request.WantsParents)
    Response.Parents = std::move(Parents);
  if (!Redirected)
    this->addChunks(One.Request, Response);
  One.OnComplete(Response);
}

void SyncServer::addChunks(const SyncRequest &Request,
                           SyncResponse &Response) const {
  auto Read = [](const ResourceTable &Table, TableVersion Since,
                 const std::optional<TableCursor> &Cursor, std::size_t Bytes) {
    if (Cursor && Table.canContinue(*Cursor))
      return Table.read(*Cursor, Bytes);
    return Table.read(Since, Bytes);
  };
  std::size_t Left = this->Options.MaxChunkBytes;
  if (this->hasReplicatedNews(Request)) {
    const TableVersion Since = Request.Cluster.empty()
                                   ? TableVersion()
                                   : TableVersion::of(Request.InForce);
    Response.ReplicatedChunk =
        Read(this->State.Replicated, Since, Request.ReplicatedCursor, Left);
    if (Response.ReplicatedChunk->Next)
      return;
    Left -= std::min(Left, Response.ReplicatedChunk->Bytes);
  }
  if (Left > 0 && Request.Members < this->State.Members.current())
    Response.MemberChunk =
        Read(this->State.Members, Request.Members, Request.MemberCursor, Left);
}

void SyncServer::answerWaiting(Instant Now) {
  std::vector<ParkedRequest> Ready;
  for (auto It = this->Parked.begin(); It != this->Parked.end();) {
    if (this->hasAnswer(It->second, Now)) {
      Ready.push_back(std::move(It->second));
      It = this->Parked.erase(It);
    } else {
      ++It;
    }
  }
  // Completion may call back into this server.
  for (const ParkedRequest &One : Ready)
    this->complete(One, Now);
}

void SyncServer::wake(Instant Now) {
  if (this->State.Members.current() != this->WokenMembers) {
    const Instant Allowed = this->LastMemberWake + this->Options.MemberLinger;
    if (Now >= Allowed)
      this->releaseMembers(Now);
    else
      this->LingerEnds = Allowed;
  }
  this->answerWaiting(Now);
}

void SyncServer::wakeAll(Instant Now) {
  this->releaseMembers(Now);
  this->answerWaiting(Now);
}

void SyncServer::releaseMembers(Instant Now) {
  this->WokenMembers = this->State.Members.current();
  this->LastMemberWake = Now;
  this->LingerEnds.reset();
}

void SyncServer::tick(Instant Now) {
  if (this->LingerEnds && Now >= *this->LingerEnds)
    this->releaseMembers(Now);
  this->answerWaiting(Now);
  if (Now >= this->NextCleanup)
    this->forgetChildren(Now);
}

void SyncServer::forgetChildren(Instant Now) {
  this->NextCleanup = Now + std::chrono::seconds(1);
  std::erase_if(this->LastSeen, [this, Now](const auto &Entry) {
    return Now - Entry.second > this->Options.ChildMemory &&
           !this->Parked.contains(Entry.first);
  });
  if (this->LastAcknowledged.size() > MaxRememberedSessions)
    this->LastAcknowledged.clear();
}

std::optional<Instant> SyncServer::nextDeadline() const {
  std::optional<Instant> Next = this->LingerEnds;
  for (const auto &[Node, One] : this->Parked)
    if (!Next || One.Deadline < *Next)
      Next = One.Deadline;
  return Next;
}

UplinkBatch SyncServer::takeUplink() {
  return std::exchange(this->Collected, UplinkBatch());
}

} // namespace amaranthward
