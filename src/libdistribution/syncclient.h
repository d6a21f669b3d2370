#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCCLIENT_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCCLIENT_H

#include "libdistribution/distributedstate.h"
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
  /// Shortest time between two requests that interrupt a parked one.
  Duration MinInterruptGap = std::chrono::milliseconds(20);
  /// An announcement that the member table does not show after this time is
  /// repeated.
  Duration AnnounceRetry = std::chrono::seconds(2);
  /// Observations are repeated at this interval in case a relay lost them.
  Duration ObservationRetry = std::chrono::seconds(5);
  ParentSelectorOptions Parents;
};

struct SyncClientHooks {
  /// Sends a request. It replaces a request in flight, whose exchange the
  /// transport cancels. Report the outcome through \a onResponse,
  /// \a onFailure or \a onRedirect.
  std::function<void(const Endpoint &To, const SyncRequest &Request)> Send;
  /// Checks that staged replicated state refers to nothing that is missing.
  std::function<Result<void>(const ResourceMap &)> CheckClosure;
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
  static Result<std::unique_ptr<SyncClient>>
  create(DistributedState &State, const Member &Self,
         const std::vector<Endpoint> &ControlReplicas,
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
  void announce(const Member &Self, Instant Now);
  /// Ends the session; sent at once and with every later request.
  void leave(Instant Now);
  /// Cumulative counters to report; none stops the reports.
  void observe(std::optional<Json> Counters, Instant Now);
  /// Passes on what children reported.
  void addUplink(const UplinkBatch &Batch, Urgency How, Instant Now);
  /// Asks for a confirmed revision until one arrives (safe start).
  void requestConfirmation(bool Wanted) { this->WantsConfirmation = Wanted; }

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
             const std::vector<Endpoint> &ControlReplicas,
             SyncClientOptions Options, SyncClientHooks Hooks);
  void send(Instant Now);
  SyncRequest buildRequest(Instant Now);
  void addOwnReports(UplinkBatch &Batch, Instant Now);
  void moveOn(Instant Now);
  void scheduleSend(Instant When);
  void interrupt(Instant When);
  bool digestReplicated(const SyncResponse &Response);
  bool digestMembers(const SyncResponse &Response);
  Result<void> putInForce(const SyncResponse &Response);
  void refuse(Revision Refused, const std::string &Reason);
  void noteSource(const SyncResponse &Response, Instant Now);
  void refreshParents();

  DistributedState &State;
  Member Self;
  SessionId Session;
  SyncClientOptions Options;
  SyncClientHooks Hooks;
  ParentSelector Selector;
  TableStaging ReplicatedStaging;
  TableStaging MemberStaging;
  UplinkBatch Pending;
  UplinkBatch InFlightUplink;
  Endpoint Target;
  std::uint64_t Sequence = 0;
  std::uint64_t AnnounceSequence = 0;
  bool InFlight = false;
  bool Gone = false;
  bool WantsConfirmation = false;
  bool ParentsStale = true;
  std::optional<Instant> SendAt;
  std::optional<Instant> SilenceAt;
  std::optional<Instant> AnnouncedAt;
  std::optional<Instant> SourceHeard;
  Instant LastSent;
  Duration ParentHold = std::chrono::seconds(1);
  std::optional<Json> Counters;
  bool CountersChanged = false;
  Instant CountersSent;
  std::uint64_t CountersEpoch = 0;
  std::optional<RefusedRevision> Refusal;
};

} // namespace amaranthward

#endif
