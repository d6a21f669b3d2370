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
  /// Added to the parent's hold time before a connection counts as dead.
  Duration SilenceMargin = std::chrono::seconds(1);
  /// A renewal that waited longer than this is not passed on.
  Duration MaxRenewalAge = std::chrono::seconds(3);
  /// Non-urgent reports from children are collected for this time.
  Duration UplinkLinger = std::chrono::milliseconds(100);
  /// Observations, own and of children, are collected for this time.
  Duration ObservationLinger = std::chrono::milliseconds(200);
  /// Shortest time between two requests that interrupt a parked one.
  Duration MinInterruptGap = std::chrono::milliseconds(20);
  /// An announcement that the member table does not show after this time is
  /// repeated.
  Duration AnnounceRetry = std::chrono::seconds(2);
  /// Observations are repeated at this interval in case a relay lost them.
  Duration ObservationRetry = std::chrono::seconds(5);
  /// While a confirmed revision is wanted, the control replicas are asked at
  /// this interval.
  Duration ConfirmationRetry = std::chrono::seconds(2);
  ParentSelectorOptions Parents;
};

struct SyncClientHooks {
  /// Sends a request and reports the outcome through \a onResponse,
  /// \a onFailure or \a onRedirect. It may replace a request in flight. The
  /// transport sends it on another connection and need not cancel the earlier
  /// exchange, because the parent answers that one when the new one arrives.
  std::function<void(const Endpoint &To, const SyncRequest &Request)> Send;
  /// Checks that staged replicated state refers to nothing that is missing.
  std::function<Result<void>(const ResourceMap &)> CheckReferences;
  /// Decides whether a revision may be put in force; unset accepts all that
  /// is not lower.
  std::function<Result<void>(const ClusterId &, Revision)> MayApply;
  /// New state is in force. The flags tell which table changed.
  std::function<void(bool Replicated, bool Members)> OnChanged;
  /// A leader's revision that a majority confirmed.
  std::function<void(const ClusterId &, Revision)> OnConfirmed;
  RandomFunction Random;
};

/// Child side of the sync protocol, on every node. On a relay, the state that
/// it keeps is the state that the node's SyncServer serves.
class SyncClient {
public:
  /// \param Self The node itself; it is announced until \a leave.
  /// \param Witnesses Asked for data while neither a member list nor a
  ///        control replica is at hand.
  /// Fails with InvalidArgument without a control replica or a Send hook.
  static Result<std::unique_ptr<SyncClient>>
  create(DistributedState &State, const Member &Self,
         const std::vector<Endpoint> &ControlReplicas,
         const std::vector<ParentCandidate> &Witnesses,
         SyncClientOptions Options, SyncClientHooks Hooks);

  /// Sends the first request.
  void start(Instant Now);
  void onResponse(const SyncResponse &Response, Instant Now);
  /// The request with that sequence failed or its connection closed.
  void onFailure(std::uint64_t Sequence, Instant Now);
  /// A control replica named the leader (421 with Amaranth-Leader); an empty
  /// address means that it knows none.
  void onRedirect(std::uint64_t Sequence, const Endpoint &Leader, Instant Now);
  /// Sends what is due and detects silence.
  void tick(Instant Now);
  std::optional<Instant> nextDeadline() const;

  /// Changes what the node announces; sent at once.
  void announce(const Member &NewSelf, Instant Now);
  /// Ends the session; sent at once and with every later request.
  void leave(Instant Now);
  /// Cumulative counters to report with the next request; none stops the
  /// reports.
  void observe(std::optional<Json> NewCounters);
  /// Sends the counters within the observation linger, also when a request is
  /// parked. The analysis of a version needs reports more often than once in a
  /// hold time.
  void reportSoon(Instant Now);
  /// Passes on what children reported.
  void addUplink(const UplinkBatch &Batch, Urgency BatchUrgency, Instant Now);
  /// Asks for a confirmed revision until one arrives (safe start). One
  /// response ends it.
  void requestConfirmation(bool Wanted) { this->WantsConfirmation = Wanted; }

  /// Replaces the control replicas; ignored when there is none.
  void setControl(const std::vector<Endpoint> &Replicas) {
    this->Selector.setControl(Replicas);
  }

  /// Time since this node's chain of parents last heard from the leader.
  Duration sourceAge(Instant Now) const;
  /// True when the member table in force shows what this node announces.
  bool announced() const;
  const Member &self() const { return this->Self; }
  SessionId session() const { return this->Session; }
  const Endpoint &parent() const { return this->Target; }
  /// The last failure to put a revision in force, until one succeeds.
  const std::optional<RefusedRevision> &refusal() const {
    return this->Refusal;
  }

private:
  SyncClient(DistributedState &State, const Member &Self,
             ParentSelector Selector, SyncClientOptions Options,
             SyncClientHooks Hooks);
  void send(Instant Now);
  /// The parent is alive now and must answer again within the silence time.
  void restartAnswerTimeout(Instant Now);
  SyncRequest buildRequest(const ParentSelector::Choice &To, Instant Now);
  void addOwnReports(UplinkBatch &Batch, Instant Now);
  void finishRequest();
  void retryNextParent(Instant Now);
  void restoreUnanswered();
  void interrupt(Instant When, Instant Now);
  void installChunks(const SyncResponse &Response);
  bool installReplicatedChunk(const SyncResponse &Response);
  bool installMemberChunk(const SyncResponse &Response);
  Result<void> checkStaged(const ClusterId &Cluster) const;
  void refuse(Revision Refused, const std::string &Reason);
  void evaluateParent(const SyncResponse &Response, Instant Now);
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
  /// Reports of children by the request that carried them, until answered.
  std::map<std::uint64_t, UplinkBatch> Unanswered;
  Endpoint Target;
  std::uint64_t Sequence = 0;
  /// The first request to the present parent in a row.
  std::uint64_t FirstSequenceAtParent = 0;
  std::uint64_t AnnounceSequence = 0;
  std::uint32_t Redirects = 0;
  bool InFlight = false;
  bool AskedConfirmation = false;
  bool HasLeft = false;
  bool WantsConfirmation = false;
  std::optional<Instant> SendAt;
  std::optional<Instant> AnswerDeadline;
  std::optional<Instant> AnnouncedAt;
  std::optional<Instant> LastSourceContact;
  std::optional<Instant> ConfirmationAskedAt;
  Instant LastSent;
  Duration ParentHold = std::chrono::seconds(1);
  std::optional<Json> Counters;
  std::optional<Instant> CountersSentAt;
  std::uint64_t CountersEpoch = 0;
  std::optional<RefusedRevision> Refusal;
};

} // namespace amaranthward

#endif
