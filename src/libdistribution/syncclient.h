#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCCLIENT_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCCLIENT_H

#include "libdistribution/distributedstate.h"
#include "libdistribution/memberview.h"
#include "libdistribution/parentselector.h"
#include "libdistribution/tablestaging.h"
#include <functional>
#include <memory>

namespace amaranthward {

struct SyncClientOptions {
  /// A parent that has not answered within its hold time plus this margin
  /// counts as failed.
  Duration SilenceMargin = std::chrono::seconds(1);
  /// A renewal that waited longer than this is dropped instead of forwarded.
  Duration MaxRenewalAge = std::chrono::seconds(3);
  /// Announcements, refusals and acknowledgements from children are collected
  /// for this time.
  Duration UplinkLinger = std::chrono::milliseconds(100);
  /// Observations of this node and of its children are collected for this time.
  Duration ObservationLinger = std::chrono::milliseconds(200);
  /// Minimum time between a request and a report that follows it.
  Duration MinReportGap = std::chrono::milliseconds(20);
  /// An announcement that the member table does not contain after this time is
  /// sent again.
  Duration AnnounceRetry = std::chrono::seconds(2);
  /// Observations are sent again at this interval in case a relay lost them.
  Duration ObservationRetry = std::chrono::seconds(5);
  /// Interval of requests to the control replicas while a confirmed revision is
  /// needed.
  Duration ConfirmationRetry = std::chrono::seconds(2);
  /// A node serves as a relay like the others this long after its first set.
  /// By then the others have put in force what its snapshot contains, so that
  /// it can send them changes.
  Duration RelayAfter = std::chrono::seconds(3);
  ParentSelectorOptions Parents;
  /// Must be the same on all nodes and at the leader.
  RelayTreeOptions Tree;
};

/// Chunks of the replicated state since the start of the client.
struct TransferCounters {
  std::uint64_t Chunks = 0;
  /// Chunks that were not used, because they answered a request to an earlier
  /// parent or one that had timed out.
  std::uint64_t SupersededChunks = 0;
  /// Transfers that began again before they were complete.
  std::uint64_t Restarts = 0;
};

/// The transfer that brought the revision in force.
struct TransferReport {
  /// The parent's revision at the first chunk, and the one installed.
  Revision FirstTarget;
  Revision Installed;
  std::uint64_t Chunks = 0;
  std::size_t Changes = 0;
  /// From the first chunk to the installation.
  Duration Took{0};
};

struct SyncClientHooks {
  /// Sends a request and reports the result through SyncClient::onResponse,
  /// onFailure or onRedirect. Other requests may be in flight; the transport
  /// sends each on a connection of its own.
  std::function<void(const Endpoint &To, const SyncRequest &Request)> Send;
  /// Checks that all references resolve in the replicated state after these
  /// changes.
  std::function<Result<void>(const std::vector<ResourceUpdate> &)> CheckChanges;
  /// Decides whether a revision may be put in force; when unset, any revision
  /// that is not lower is accepted.
  std::function<Result<void>(const ClusterId &, Revision)> MayApply;
  /// Called with each chunk of replicated state that continues a transfer, in
  /// the form for children, before the state is checked and put in force; the
  /// cursor is the position that the chunk continues, absent at the first one.
  std::function<void(const ClusterId &, const std::optional<TableCursor> &,
                     const SharedChunk &)>
      OnChunk;
  /// Called when chain() has changed.
  std::function<void()> OnChainChanged;
  /// Called when new state is in force; the flags say which tables changed.
  std::function<void(bool Replicated, bool Members)> OnChanged;
  /// Called with a revision of the leader that a majority confirmed.
  std::function<void(const ClusterId &, Revision)> OnConfirmed;
  RandomFunction Random;
};

/// Child side of the sync protocol, run by every node. On a relay, the node's
/// SyncServer serves the state that this client maintains.
///
/// One request for data is in flight at a time; the parent holds it until there
/// is news. Reports that cannot wait for the next one are sent as requests of
/// their own, which never delay or replace the transfer of data.
class SyncClient {
public:
  /// \param Self The node itself; it is announced until \a leave.
  /// \param Witnesses Asked for data while there is no member list and no
  ///        control replica is reachable.
  /// Fails with InvalidArgument without a control replica or a Send hook.
  static Result<std::unique_ptr<SyncClient>>
  create(DistributedState &State, const Member &Self,
         const std::vector<Endpoint> &ControlReplicas,
         const std::vector<ParentCandidate> &Witnesses,
         SyncClientOptions Options, SyncClientHooks Hooks);

  /// Sends the first request.
  void start(Instant Now);
  /// Handles the response to a request sent through SyncClientHooks::Send.
  void onResponse(const SyncResponse &Response, Instant Now);
  /// Restarts the answer timeout while the response to a request arrives.
  void onProgress(std::uint64_t ReceivedFor, Instant Now);
  /// Handles a failed request or a closed connection.
  void onFailure(std::uint64_t Sequence, Instant Now);
  /// Handles a redirect of a control replica to the leader (status 421 with
  /// Amaranth-Leader); an empty address means that the leader is unknown.
  void onRedirect(std::uint64_t Sequence, const Endpoint &Leader, Instant Now);
  /// Sends requests that are due and detects parents that do not answer.
  void tick(Instant Now);
  /// Time at which \a tick has work next.
  std::optional<Instant> nextDeadline() const;

  /// Changes the announced member data, except Member::Starting, and sends it
  /// at once.
  void announce(const Member &NewSelf, Instant Now);
  /// Ends the session; sent at once and with every later request.
  void leave(Instant Now);
  /// Sets the cumulative counters to report with the next request; an empty
  /// value stops the reports.
  void observe(std::optional<Json> NewCounters);
  /// Sends the counters within the observation linger, also when a request is
  /// parked. The analysis of a version needs reports more often than once in a
  /// hold time.
  void reportSoon(Instant Now);
  /// Forwards the reports of children to the parent.
  void addUplink(const UplinkBatch &Batch, Urgency BatchUrgency, Instant Now);
  /// Requests a confirmed revision from the leader, for the safe start; the
  /// first confirmed response ends the requests.
  void requestConfirmation(bool Wanted) { this->WantsConfirmation = Wanted; }

  /// Replaces the control replicas; an empty list is ignored.
  void setControl(const std::vector<Endpoint> &Replicas) {
    this->Selector.setControl(Replicas);
  }

  /// Time since the newest contact with the leader through this node's chain of
  /// parents; 1 h when there was none.
  Duration sourceAge(Instant Now) const;
  /// The parent and those that it follows, as it said last; see
  /// SyncResponse::Chain. Empty while unknown and at a child of the leader.
  const std::vector<NodeName> &chain() const { return this->Chain; }
  /// True when the member table in force contains the announced member data.
  bool announced() const;
  const Member &self() const { return this->Self; }
  SessionId session() const { return this->Session; }
  const Endpoint &parent() const { return this->Target; }
  /// Why the parent was changed last.
  const char *parentChangeReason() const { return this->ParentChangeReason; }
  const TransferCounters &transfers() const { return this->Transfers; }
  const TransferReport &lastTransfer() const { return this->LastTransfer; }
  /// The last revision that could not be put in force; reset when one is.
  const std::optional<RefusedRevision> &refusal() const {
    return this->Refusal;
  }

private:
  SyncClient(DistributedState &State, const Member &Self,
             ParentSelector Selector, SyncClientOptions Options,
             SyncClientHooks Hooks);
  void send(Instant Now);
  void sendReport(Instant Now);
  /// Restarts the time within which the parent must answer.
  void restartAnswerTimeout(Instant Now);
  SyncRequest buildRequest(const ParentSelector::Choice &To, Instant Now);
  SyncRequest newRequest();
  void addUplinkTo(SyncRequest &Request, Instant Now);
  void addOwnReports(UplinkBatch &Batch, Instant Now);
  void finishRequest();
  void retryNextParent(Instant Now);
  void restoreUnanswered();
  void restoreReport(std::uint64_t Failed, Instant Now);
  void scheduleReport(Instant When, Instant Now);
  void installChunks(const SyncResponse &Response, Instant Now);
  bool installReplicatedChunk(const SyncResponse &Response, Instant Now);
  void passOnChunk(const SyncResponse &Response);
  /// Announces that this node may serve as a relay, once it is time.
  void finishStarting(Instant Now);
  void countChunk(const TableChunk &Chunk, Instant Now);
  bool installMemberChunk(const SyncResponse &Response);
  Result<void> checkStaged(const ClusterId &Cluster) const;
  void refuse(Revision Refused, const std::string &Reason);
  void evaluateParent(const SyncResponse &Response, Instant Now);
  void setChain(std::vector<NodeName> NewChain);
  bool confirmationDue(Instant Now) const;
  void refreshParents();

  DistributedState &State;
  Member Self;
  SessionId Session;
  SyncClientOptions Options;
  SyncClientHooks Hooks;
  ParentSelector Selector;
  MemberView View;
  TableStaging ReplicatedStaging;
  TableStaging MemberStaging;
  UplinkBatch Pending;
  /// Reports of children in requests not yet answered, by request sequence.
  std::map<std::uint64_t, UplinkBatch> Unanswered;
  Endpoint Target;
  std::uint64_t Sequence = 0;
  /// Sequence of the newest request for data.
  std::uint64_t DataSequence = 0;
  /// Sequence of the first in an unbroken series of requests to this parent.
  std::uint64_t FirstSequenceAtParent = 0;
  std::uint64_t AnnounceSequence = 0;
  std::uint32_t Redirects = 0;
  /// A request for data has no answer yet.
  bool InFlight = false;
  bool AskedConfirmation = false;
  bool HasLeft = false;
  bool WantsConfirmation = false;
  std::optional<Instant> SendAt;
  std::optional<Instant> ReportAt;
  std::optional<Instant> AnswerDeadline;
  std::optional<Instant> AnnouncedAt;
  std::optional<Instant> LastSourceContact;
  std::vector<NodeName> Chain;
  /// Time at which the first set was put in force.
  std::optional<Instant> InForceSince;
  std::optional<Instant> ConfirmationAskedAt;
  Instant LastSent;
  Duration ParentHold = std::chrono::seconds(1);
  std::optional<Json> Counters;
  std::optional<Instant> CountersSentAt;
  std::uint64_t CountersEpoch = 0;
  std::optional<RefusedRevision> Refusal;
  const char *ParentChangeReason = "start";
  TransferCounters Transfers;
  TransferReport CurrentTransfer;
  Instant TransferStart;
  TransferReport LastTransfer;
};

} // namespace amaranthward

#endif
