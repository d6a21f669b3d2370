#ifndef AMARANTHWARD_LIBDISTRIBUTION_SESSIONTABLE_H
#define AMARANTHWARD_LIBDISTRIBUTION_SESSIONTABLE_H

#include "libdistribution/membercodec.h"
#include "libdistribution/resourcetable.h"
#include "libdistribution/uplinkbatch.h"
#include <map>
#include <memory>
#include <set>

namespace amaranthward {

struct SessionOptions {
  /// Time without a renewal after which a session expires.
  Duration Expiry = std::chrono::seconds(8);
  /// Time for which a departed incarnation is kept and published.
  Duration Retention = std::chrono::seconds(120);
  /// When the leader did not run, or received no renewal from any node, for
  /// longer than this, it assumes that it was itself paused or disconnected.
  Duration OutageAfter = std::chrono::milliseconds(2500);
  /// A replaced incarnation may take its node name back when its successor has
  /// not renewed for this time.
  Duration ReclaimAfter = std::chrono::seconds(4);
};

/// Number of sessions with a revision in force, out of all known sessions.
struct InForceCount {
  std::size_t InForce = 0;
  std::size_t Known = 0;
};

/// Active sessions at the control leader and the member resources derived from
/// them. Held in memory only; a new leader rebuilds it from announcements
/// and renewals.
class SessionTable {
public:
  /// Fails with InvalidArgument unless Expiry is positive and above
  /// OutageAfter.
  static Result<std::unique_ptr<SessionTable>> create(SessionOptions Options);

  /// Starts the epoch \a NewEpoch without sessions. For one full expiry time
  /// (grace period) nothing expires and the member table stays incomplete.
  void becomeLeader(Term NewEpoch, ResourceTable &Members, Instant Now);
  /// Restarts the grace period after an outage of the leader itself: nothing
  /// expires until a full expiry time has passed.
  void restartGrace(Instant Now);

  /// Applies renewals and announcements. Returns Immediate when a member is
  /// leaving, has left or was replaced, Soon on another change, otherwise None.
  Urgency applyUplink(const UplinkBatch &Batch, Instant Now);
  /// Expires sessions and drops departed incarnations after the retention time.
  /// Returns Soon when a session expired.
  Urgency tick(Instant Now);
  /// Writes the changes since the last call to \a Members as one new version.
  /// Returns false when nothing changed.
  bool publish(ResourceTable &Members, Instant Now);

  /// True once the grace period is over.
  bool complete(Instant Now) const { return Now >= this->GraceEnds; }
  std::size_t size() const { return this->Sessions.size(); }
  /// Number of active sessions with at least \a Newest in force.
  InForceCount inForce(Revision Newest) const;
  /// Number of sessions per revision in force.
  std::map<Revision, std::size_t> histogram() const;
  /// Departed incarnations within the retention time.
  std::vector<DepartedMember> departed() const;

private:
  struct Session {
    NodeName Node;
    std::uint64_t Sequence = 0;
    Member Announced;
    Revision InForce;
    Instant RenewedAt;
  };
  enum class DepartureCause { Left, Replaced, Expired };
  struct Departure {
    DepartedMember Departed;
    DepartureCause Cause = DepartureCause::Expired;
    std::uint64_t Sequence = 0;
    Instant DepartedAt;
  };

  explicit SessionTable(SessionOptions Options) : Options(Options) {}
  Urgency announce(const Announcement &Received, Instant Now);
  bool acceptsAnnouncement(const Announcement &Received, Instant Now) const;
  /// Removes the departure record of an incarnation that announced again.
  void eraseDeparture(const Member &Announced);
  void endSession(SessionId Id, DepartureCause Cause, Instant Now);
  void recordDeparture(const DepartedMember &Departed, DepartureCause Cause,
                       std::uint64_t Sequence, Instant Now);
  /// Records members of earlier epochs that were not announced in this epoch as
  /// expired.
  void recordUnannounced(const ResourceTable &Members, Instant Now);
  /// Restarts the grace period when this process did not run for OutageAfter.
  void extendGraceAfterOutage(Instant Now);
  const Session *findSession(const NodeName &Node) const;

  SessionOptions Options;
  Term Epoch;
  std::uint64_t LastSequence = 0;
  Instant GraceEnds;
  Instant LastActive;
  Instant LastRenewal;
  std::map<SessionId, Session> Sessions;
  std::map<NodeName, SessionId> ByNode;
  std::map<Incarnation, Departure> Departures;
  /// Resource changes not yet published; no value removes the key.
  std::map<std::string, std::optional<Json>> Unpublished;
};

} // namespace amaranthward

#endif
