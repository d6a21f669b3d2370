#include "libdistribution/syncclient.h"

#include <algorithm>

namespace amaranthward {

namespace {

// More consecutive redirects mean that the replicas disagree about the leader.
constexpr std::uint32_t MaxRedirects = 3;
// Source age reported by a node that has had no contact with the leader.
constexpr Duration NoContactSourceAge = std::chrono::hours(1);

} // namespace

Result<std::unique_ptr<SyncClient>>
SyncClient::create(DistributedState &State, const Member &Self,
                   const std::vector<Endpoint> &ControlReplicas,
                   const std::vector<ParentCandidate> &Witnesses,
                   SyncClientOptions Options, SyncClientHooks Hooks) {
  if (ControlReplicas.empty())
    return fail(ErrorCode::InvalidArgument, "no control replica is given");
  if (!Hooks.Send || !Hooks.Random)
    return fail(ErrorCode::InvalidArgument, "hook Send or Random is not set");
  ParentSelector Selector(ControlReplicas, Witnesses, Options.Parents,
                          Hooks.Random);
  return std::unique_ptr<SyncClient>(new SyncClient(
      State, Self, std::move(Selector), Options, std::move(Hooks)));
}

SyncClient::SyncClient(DistributedState &State, const Member &Self,
                       ParentSelector Selector, SyncClientOptions Options,
                       SyncClientHooks Hooks)
    : State(State), Self(Self), Session(randomSession(Hooks.Random)),
      Options(Options), Hooks(std::move(Hooks)), Selector(std::move(Selector)),
      View(Options.Tree) {
  this->Self.Starting = true;
}

void SyncClient::start(Instant Now) {
  this->refreshParents();
  this->send(Now);
}

void SyncClient::send(Instant Now) {
  this->AskedConfirmation = this->confirmationDue(Now);
  const ParentSelector::Choice To = this->AskedConfirmation
                                        ? this->Selector.control()
                                        : this->Selector.current();
  if (this->AskedConfirmation)
    this->ConfirmationAskedAt = Now;
  if (this->Target != To.Address) {
    this->FirstSequenceAtParent = this->Sequence + 1;
    this->Chain.clear();
  }
  this->restartAnswerTimeout(Now);
  this->Target = To.Address;
  this->SendAt.reset();
  this->LastSent = Now;
  this->InFlight = true;
  const SyncRequest Request = this->buildRequest(To, Now);
  this->DataSequence = Request.Sequence;
  this->Hooks.Send(To.Address, Request);
}

void SyncClient::restartAnswerTimeout(Instant Now) {
  this->AnswerDeadline = Now + this->ParentHold + this->Options.SilenceMargin;
}

SyncRequest SyncClient::newRequest() {
  SyncRequest Request;
  Request.Node = this->Self.Node;
  Request.Start = this->Self.Start;
  Request.Zone = this->Self.Zone;
  Request.Sequence = ++this->Sequence;
  Request.Cluster = this->State.Cluster;
  Request.InForce = this->State.inForce();
  Request.Members = this->State.Members.current();
  Request.TakesCompressed = true;
  return Request;
}

SyncRequest SyncClient::buildRequest(const ParentSelector::Choice &To,
                                     Instant Now) {
  SyncRequest Request = this->newRequest();
  Request.ReplicatedCursor = this->ReplicatedStaging.cursor();
  Request.MemberCursor = this->MemberStaging.cursor();
  if (this->Refusal)
    Request.Refused = this->Refusal->Refused;
  Request.WantsParents =
      To.IsControl && !To.Fallback && Request.Members == TableVersion();
  Request.Fallback = To.Fallback;
  Request.WantsConfirmation = To.IsControl && this->WantsConfirmation;
  // Two roots may take data from each other; reports would circulate between
  // them.
  if (To.DataOnly)
    return Request;
  this->ReportAt.reset();
  this->addUplinkTo(Request, Now);
  return Request;
}

void SyncClient::onResponse(const SyncResponse &Response, Instant Now) {
  this->Unanswered.erase(Response.Sequence);
  if (!this->InFlight || Response.Sequence < this->FirstSequenceAtParent)
    return;
  if (Response.Sequence != this->DataSequence) {
    if (Response.ReplicatedChunk)
      ++this->Transfers.SupersededChunks;
    if (!this->AskedConfirmation && !Response.RetryAfter)
      this->evaluateParent(Response, Now);
    return;
  }
  this->finishRequest();
  this->Redirects = 0;
  if (Response.RetryAfter) {
    this->SendAt = Now + *Response.RetryAfter;
    return;
  }
  this->ParentHold = Response.Hold;
  const bool AskedControlReplica = this->AskedConfirmation;
  const bool Empty = !Response.ReplicatedChunk && !Response.MemberChunk;
  if (Response.Confirmed) {
    this->WantsConfirmation = false;
    if (this->Hooks.OnConfirmed)
      this->Hooks.OnConfirmed(Response.Cluster, *Response.Confirmed);
  }
  if (Response.Parents && !Response.Parents->empty())
    this->Selector.setCandidates(*Response.Parents, {});
  else if (!AskedControlReplica)
    this->evaluateParent(Response, Now);
  this->installChunks(Response, Now);
  if (this->SendAt || this->InFlight)
    return;
  // Avoid a tight loop with a parent that answers at once without changes.
  const Instant Earliest = this->LastSent + this->ParentHold / 4;
  if (Empty && !Response.Parents && Now < Earliest)
    this->SendAt = Earliest;
  else
    this->send(Now);
}

void SyncClient::evaluateParent(const SyncResponse &Response, Instant Now) {
  const Instant SourceContact = Now - Response.SourceAge;
  if (!this->LastSourceContact || *this->LastSourceContact < SourceContact)
    this->LastSourceContact = SourceContact;
  const bool SameCluster =
      this->State.Cluster.empty() || Response.Cluster == this->State.Cluster;
  const bool Behind = !SameCluster ||
                      Response.InForce < this->State.inForce() ||
                      Response.Members < this->State.Members.current();
  Duration Wait = Duration::zero();
  const bool DataOnly = this->Selector.current().DataOnly;
  // Other roots may follow each other while no control replica answers.
  const bool FollowsItself =
      !DataOnly && std::find(Response.Chain.begin(), Response.Chain.end(),
                             this->Self.Node) != Response.Chain.end();
  if (!FollowsItself)
    this->setChain(Response.Chain);
  if (FollowsItself) {
    this->ParentChangeReason = "parent follows this node";
    Wait = this->Selector.reportFailure(Now);
  } else if (Response.SourceAge >= this->Selector.options().MaxParentLag &&
             !DataOnly) {
    this->ParentChangeReason = "parent has lost the leader";
    Wait = this->Selector.reportFailure(Now);
  } else if (Behind) {
    this->ParentChangeReason = "parent is behind";
    Wait = this->Selector.reportBehind(Now);
  } else {
    this->ParentChangeReason = "earlier choice works again";
    this->Selector.reportSuccess(Now);
  }
  if (Wait > Duration::zero())
    this->SendAt = Now + Wait;
}

void SyncClient::setChain(std::vector<NodeName> NewChain) {
  if (NewChain == this->Chain)
    return;
  this->Chain = std::move(NewChain);
  if (this->Hooks.OnChainChanged)
    this->Hooks.OnChainChanged();
}

void SyncClient::refreshParents() {
  // Keep the current parents while the table of a new leader is incomplete.
  if (!this->State.Members.complete())
    return;
  if (!this->View.refresh(this->State.Members))
    return;
  this->ParentChangeReason = "members changed";
  const RelayTree &Tree = this->View.treeOf(this->Self.Zone);
  this->Selector.setCandidates(Tree.candidatesFor(this->Self.Node),
                               Tree.otherRoots(this->Self.Node));
}

void SyncClient::onProgress(std::uint64_t ReceivedFor, Instant Now) {
  if (this->InFlight && ReceivedFor == this->DataSequence)
    this->restartAnswerTimeout(Now);
}

void SyncClient::onFailure(std::uint64_t Failed, Instant Now) {
  if (Failed != this->DataSequence)
    return this->restoreReport(Failed, Now);
  if (!this->InFlight)
    return;
  this->ParentChangeReason = "request failed";
  this->retryNextParent(Now);
}

void SyncClient::retryNextParent(Instant Now) {
  this->finishRequest();
  this->restoreUnanswered();
  if (this->AskedConfirmation) {
    this->Selector.reportControlFailure();
    this->SendAt = Now;
    return;
  }
  this->SendAt = Now + this->Selector.reportFailure(Now);
}

void SyncClient::finishRequest() {
  this->InFlight = false;
  this->AnswerDeadline.reset();
}

void SyncClient::onRedirect(std::uint64_t Redirected, const Endpoint &Leader,
                            Instant Now) {
  if (Redirected != this->DataSequence)
    return this->restoreReport(Redirected, Now);
  if (!this->InFlight)
    return;
  if (Leader.empty() || ++this->Redirects > MaxRedirects) {
    this->Redirects = 0;
    this->retryNextParent(Now);
    return;
  }
  this->finishRequest();
  this->restoreUnanswered();
  this->ParentChangeReason = "redirected to the leader";
  this->Selector.setLeaderHint(Leader);
  if (this->AskedConfirmation)
    this->ConfirmationAskedAt.reset();
  this->send(Now);
}

void SyncClient::tick(Instant Now) {
  this->finishStarting(Now);
  if (this->InFlight && this->AnswerDeadline && Now >= *this->AnswerDeadline) {
    this->ParentChangeReason = "no answer in time";
    this->retryNextParent(Now);
  }
  if (this->SendAt && Now >= *this->SendAt)
    this->send(Now);
  if (this->ReportAt && Now >= *this->ReportAt)
    this->sendReport(Now);
}

std::optional<Instant> SyncClient::nextDeadline() const {
  std::optional<Instant> Next;
  std::optional<Instant> RelaysAt;
  if (this->Self.Starting && this->InForceSince)
    RelaysAt = *this->InForceSince + this->Options.RelayAfter;
  for (const auto &Due :
       {this->SendAt, this->ReportAt, this->AnswerDeadline, RelaysAt})
    if (Due && (!Next || *Due < *Next))
      Next = Due;
  return Next;
}

Duration SyncClient::sourceAge(Instant Now) const {
  return this->LastSourceContact ? Now - *this->LastSourceContact
                                 : NoContactSourceAge;
}

bool SyncClient::confirmationDue(Instant Now) const {
  if (!this->WantsConfirmation || this->Selector.current().IsControl)
    return false;
  return !this->ConfirmationAskedAt ||
         Now - *this->ConfirmationAskedAt >= this->Options.ConfirmationRetry;
}

} // namespace amaranthward
