#include "libdistribution/syncclient.h"

namespace amaranthward {

void SyncClient::installChunks(const SyncResponse &Response, Instant Now) {
  const bool Replicated = this->installReplicatedChunk(Response, Now);
  const bool Members = this->installMemberChunk(Response);
  if (Members)
    this->refreshParents();
  if ((Replicated || Members) && this->Hooks.OnChanged)
    this->Hooks.OnChanged(Replicated, Members);
}

void SyncClient::countChunk(const TableChunk &Chunk, Instant Now) {
  ++this->Transfers.Chunks;
  if (Chunk.First) {
    if (this->ReplicatedStaging.cursor())
      ++this->Transfers.Restarts;
    this->TransferStart = Now;
    this->CurrentTransfer = {};
    this->CurrentTransfer.FirstTarget = Chunk.Current.revision();
  }
  ++this->CurrentTransfer.Chunks;
  this->CurrentTransfer.Changes += Chunk.Changes.size();
  this->CurrentTransfer.Installed = Chunk.Current.revision();
  this->CurrentTransfer.Took = Now - this->TransferStart;
}

bool SyncClient::installReplicatedChunk(const SyncResponse &Response,
                                        Instant Now) {
  if (!Response.ReplicatedChunk)
    return false;
  this->countChunk(*Response.ReplicatedChunk, Now);
  this->passOnChunk(Response);
  if (!this->ReplicatedStaging.add(*Response.ReplicatedChunk))
    return false;
  const Revision Next = this->ReplicatedStaging.target().revision();
  if (Response.Cluster == this->State.Cluster &&
      Next <= this->State.inForce()) {
    // Ignore a late duplicate; it is not a refusal of the revision.
    this->ReplicatedStaging.clear();
    return false;
  }
  auto Done = this->checkStaged(Response.Cluster);
  if (Done)
    Done = this->ReplicatedStaging.installInto(this->State.Replicated);
  this->ReplicatedStaging.clear();
  if (!Done) {
    this->refuse(Next, Done.error().Message);
    return false;
  }
  this->State.Cluster = Response.Cluster;
  this->Refusal.reset();
  if (!this->InForceSince)
    this->InForceSince = Now;
  this->LastTransfer = this->CurrentTransfer;
  return true;
}

void SyncClient::passOnChunk(const SyncResponse &Response) {
  if (!this->Hooks.OnChunk || !Response.CompressedReplicatedChunk)
    return;
  std::optional<TableCursor> Continued;
  if (!Response.ReplicatedChunk->First)
    Continued = this->ReplicatedStaging.cursor();
  const bool Continues = Response.ReplicatedChunk->First || Continued;
  if (Continues)
    this->Hooks.OnChunk(Response.Cluster, Continued,
                        Response.CompressedReplicatedChunk);
}

Result<void> SyncClient::checkStaged(const ClusterId &Cluster) const {
  if (!this->State.Cluster.empty() && Cluster != this->State.Cluster)
    return fail(ErrorCode::Conflict,
                "cluster id " + Cluster.str() + " differs from " +
                    this->State.Cluster.str() + ", which is in force");
  const Revision Next = this->ReplicatedStaging.target().revision();
  if (this->Hooks.MayApply)
    if (auto Allowed = this->Hooks.MayApply(Cluster, Next); !Allowed)
      return Allowed;
  if (!this->Hooks.CheckChanges)
    return {};
  return this->Hooks.CheckChanges(
      this->ReplicatedStaging.changesTo(this->State.Replicated));
}

bool SyncClient::installMemberChunk(const SyncResponse &Response) {
  if (!Response.MemberChunk || !this->MemberStaging.add(*Response.MemberChunk))
    return false;
  const bool Fresh =
      this->MemberStaging.target() > this->State.Members.current();
  const bool Installed =
      Fresh && this->MemberStaging.installInto(this->State.Members).has_value();
  this->MemberStaging.clear();
  return Installed;
}

void SyncClient::refuse(Revision Refused, const std::string &Reason) {
  this->Refusal = RefusedRevision{this->Self.Node, Refused, Reason};
}

} // namespace amaranthward
