#include "libdistribution/syncserver.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Bound on the sessions whose last acknowledged revision is kept; above it all
// are dropped, which costs one early upward request per session.
constexpr std::size_t MaxAcknowledgedSessions = 8192;

Urgency urgencyOf(const Announcement &Received) {
  return Received.EndsSession || Received.Announced.Leaving ? Urgency::Immediate
                                                            : Urgency::Soon;
}

TableVersion replicatedVersionOf(const SyncRequest &Request) {
  return Request.Cluster.empty() ? TableVersion()
                                 : TableVersion::of(Request.InForce);
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
      Joins(Options.Joins), ReleasedMembers(State.Members.current()) {}

void SyncServer::handle(const SyncRequest &Request, Instant Now,
                        Complete OnAnswer) {
  if (Request.ReportOnly)
    return this->handleReport(Request, Now, OnAnswer);
  auto Earlier = this->Parked.extract(Request.Node);
  if (!Earlier.empty()) {
    SyncResponse NoNews = this->statusFor(Earlier.mapped().Request, Now);
    Earlier.mapped().OnAnswer(NoNews);
  }
  const Urgency BatchUrgency = this->collectUplink(Request);
  if (this->Hooks.OnUplink)
    this->Hooks.OnUplink(BatchUrgency);
  if (!this->admit(Request, Now, OnAnswer))
    return;
  ParkedRequest Arriving{Request, Now, Now + this->Options.Hold,
                         std::move(OnAnswer)};
  if (this->isReady(Arriving, Now))
    this->answer(Arriving, Now);
  else
    this->Parked.insert_or_assign(Request.Node, std::move(Arriving));
}

void SyncServer::handleReport(const SyncRequest &Report, Instant Now,
                              const Complete &OnAnswer) {
  const Urgency BatchUrgency = this->collectUplink(Report);
  if (this->Hooks.OnUplink)
    this->Hooks.OnUplink(BatchUrgency);
  OnAnswer(this->statusFor(Report, Now));
}

void SyncServer::abandon(const NodeName &Node, std::uint64_t Sequence) {
  auto Found = this->Parked.find(Node);
  if (Found != this->Parked.end() && Found->second.Request.Sequence == Sequence)
    this->Parked.erase(Found);
}

Urgency SyncServer::collectUplink(const SyncRequest &Request) {
  Urgency BatchUrgency = Urgency::None;
  const UplinkBatch &Uplink = Request.Uplink;
  for (const auto &[Node, Received] : Uplink.announcements())
    BatchUrgency = std::max(BatchUrgency, urgencyOf(Received));
  if (!Uplink.refusals().empty())
    BatchUrgency = std::max(BatchUrgency, Urgency::Soon);
  if (!Uplink.observations().empty())
    BatchUrgency = std::max(BatchUrgency, Urgency::Later);
  for (const auto &[Session, Received] : Uplink.renewals()) {
    Revision &Last = this->LastAcknowledged[Session];
    if (Last < Received.InForce)
      BatchUrgency = std::max(BatchUrgency, Urgency::Soon);
    Last = std::max(Last, Received.InForce);
  }
  this->CollectedUplink.merge(Uplink);
  return BatchUrgency;
}

bool SyncServer::admit(const SyncRequest &Request, Instant Now,
                       const Complete &OnAnswer) {
  if (!this->LastSeen.contains(Request.Node)) {
    if (auto Wait = this->Joins.admit(Now, this->Hooks.Random)) {
      SyncResponse Refusal;
      Refusal.Sequence = Request.Sequence;
      Refusal.RetryAfter = *Wait;
      OnAnswer(Refusal);
      return false;
    }
  }
  this->LastSeen[Request.Node] = Now;
  return true;
}

std::optional<Revision>
SyncServer::confirmation(const ParkedRequest &Waiting) const {
  if (!Waiting.Request.WantsConfirmation || !this->Hooks.ConfirmedSince)
    return std::nullopt;
  return this->Hooks.ConfirmedSince(Waiting.Arrived);
}

std::vector<ParentCandidate>
SyncServer::parentsFor(const SyncRequest &Request) const {
  // The member table of a new leader is incomplete, so its tree is wrong for
  // children that already have a parent.
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

SharedChunk SyncServer::incomingChunkFor(const SyncRequest &Request) const {
  const bool SameCluster =
      Request.Cluster.empty() || Request.Cluster == this->Incoming.cluster();
  // A child that refused a revision waits until this relay has the next one in
  // force, as only then it is known which one that is.
  if (!Request.TakesCompressed || Request.Refused || !SameCluster)
    return nullptr;
  return this->Incoming.find(replicatedVersionOf(Request),
                             Request.ReplicatedCursor);
}

void SyncServer::passOn(const ClusterId &Cluster,
                        const std::optional<TableCursor> &Cursor,
                        SharedChunk Chunk, Instant Now) {
  const TableVersion Since = this->State.Cluster.empty()
                                 ? TableVersion()
                                 : this->State.Replicated.current();
  this->Incoming.add(Cluster, Since, Cursor, std::move(Chunk));
  this->answerReadyRequests(Now);
}

bool SyncServer::isReady(const ParkedRequest &Waiting, Instant Now) const {
  const SyncRequest &Request = Waiting.Request;
  if (Now >= Waiting.Deadline)
    return true;
  // Only the leader can confirm, so hold the request until it does instead of
  // redirecting the child to a parent.
  if (Request.WantsConfirmation && this->Hooks.ConfirmedSince)
    return this->confirmation(Waiting).has_value();
  return this->hasReplicatedNews(Request) || this->incomingChunkFor(Request) ||
         Request.Members < this->ReleasedMembers ||
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
  if (this->Hooks.Chain)
    Response.Chain = this->Hooks.Chain();
  return Response;
}

void SyncServer::answer(const ParkedRequest &Waiting, Instant Now) {
  SyncResponse Response = this->statusFor(Waiting.Request, Now);
  Response.Confirmed = this->confirmation(Waiting);
  auto Parents = this->parentsFor(Waiting.Request);
  const bool Redirected = !Parents.empty();
  if (Redirected || Waiting.Request.WantsParents)
    Response.Parents = std::move(Parents);
  if (!Redirected && Waiting.Request.TakesCompressed)
    this->addCompressedChunks(Waiting.Request, Response);
  else if (!Redirected)
    this->addChunks(Waiting.Request, Response);
  Waiting.OnAnswer(Response);
}

void SyncServer::addCompressedChunks(const SyncRequest &Request,
                                     SyncResponse &Response) {
  std::size_t BytesLeft = this->Options.MaxChunkBytes;
  if (this->hasReplicatedNews(Request)) {
    Response.CompressedReplicatedChunk = this->ReplicatedChunks.read(
        this->State.Replicated, replicatedVersionOf(Request),
        Request.ReplicatedCursor, BytesLeft);
    if (Response.CompressedReplicatedChunk->HasNext)
      return;
    BytesLeft -=
        std::min(BytesLeft, Response.CompressedReplicatedChunk->PlainBytes);
  } else if (SharedChunk Incoming = this->incomingChunkFor(Request)) {
    Response.Cluster = this->Incoming.cluster();
    Response.CompressedReplicatedChunk = std::move(Incoming);
    return;
  }
  if (BytesLeft > 0 && Request.Members < this->State.Members.current())
    Response.CompressedMemberChunk = this->MemberChunks.read(
        this->State.Members, Request.Members, Request.MemberCursor, BytesLeft);
}

void SyncServer::addChunks(const SyncRequest &Request, SyncResponse &Response) {
  std::size_t BytesLeft = this->Options.MaxChunkBytes;
  if (this->hasReplicatedNews(Request)) {
    Response.ReplicatedChunk =
        readChunk(this->State.Replicated, replicatedVersionOf(Request),
                  Request.ReplicatedCursor, BytesLeft);
    if (Response.ReplicatedChunk->Next)
      return;
    BytesLeft -= std::min(BytesLeft, Response.ReplicatedChunk->Bytes);
  }
  if (BytesLeft > 0 && Request.Members < this->State.Members.current())
    Response.MemberChunk = readChunk(this->State.Members, Request.Members,
                                     Request.MemberCursor, BytesLeft);
}

void SyncServer::answerReadyRequests(Instant Now) {
  std::vector<ParkedRequest> Ready;
  for (auto It = this->Parked.begin(); It != this->Parked.end();) {
    if (this->isReady(It->second, Now)) {
      Ready.push_back(std::move(It->second));
      It = this->Parked.erase(It);
    } else {
      ++It;
    }
  }
  // An answer callback may call back into this server.
  for (const ParkedRequest &Waiting : Ready)
    this->answer(Waiting, Now);
}

void SyncServer::wake(Instant Now) {
  // The transfer started from a version that is no longer in force here.
  if (!this->Incoming.find(this->State.Replicated.current(), std::nullopt))
    this->Incoming.clear();
  if (this->State.Members.current() != this->ReleasedMembers) {
    const Instant Allowed = this->LastMemberWake + this->Options.MemberLinger;
    if (Now >= Allowed)
      this->releaseMembers(Now);
    else
      this->LingerEnds = Allowed;
  }
  this->answerReadyRequests(Now);
}

void SyncServer::wakeAll(Instant Now) {
  this->releaseMembers(Now);
  this->answerReadyRequests(Now);
}

void SyncServer::announceChain(Instant Now) {
  auto Waiting = std::exchange(this->Parked, {});
  for (const auto &[Node, Request] : Waiting)
    this->answer(Request, Now);
}

void SyncServer::releaseMembers(Instant Now) {
  this->ReleasedMembers = this->State.Members.current();
  this->LastMemberWake = Now;
  this->LingerEnds.reset();
}

void SyncServer::tick(Instant Now) {
  if (this->LingerEnds && Now >= *this->LingerEnds)
    this->releaseMembers(Now);
  this->answerReadyRequests(Now);
  if (Now >= this->NextCleanup)
    this->removeInactiveChildren(Now);
}

void SyncServer::removeInactiveChildren(Instant Now) {
  this->NextCleanup = Now + std::chrono::seconds(1);
  std::erase_if(this->LastSeen, [this, Now](const auto &Entry) {
    return Now - Entry.second > this->Options.ChildTimeout &&
           !this->Parked.contains(Entry.first);
  });
  if (this->LastAcknowledged.size() > MaxAcknowledgedSessions)
    this->LastAcknowledged.clear();
}

std::optional<Instant> SyncServer::nextDeadline() const {
  std::optional<Instant> Next = this->LingerEnds;
  for (const auto &[Node, Waiting] : this->Parked)
    if (!Next || Waiting.Deadline < *Next)
      Next = Waiting.Deadline;
  return Next;
}

UplinkBatch SyncServer::takeUplink() {
  return std::exchange(this->CollectedUplink, UplinkBatch());
}

} // namespace amaranthward
