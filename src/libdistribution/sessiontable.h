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
  /// A session that is not renewed for this time expires.
  Duration Expiry = std::chrono::seconds(8);
  /// How long a departed incarnation is remembered and published.
  Duration Retention = std::chrono::seconds(120);
  /// A leader that did no work, or heard no renewal at all, for this time
  /// takes it for an outage of its own.
  Duration OutageAfter = std::chrono::milliseconds(2500);
  /// An incarnation that was replaced takes its name back when the other one
  /// has not renewed for this time.
  Duration ReclaimAfter = std::chrono::seconds(4);
};

/// How many nodes have a revision in force.
struct InForceCount {
  std::size_t InForce = 0;
  std::size_t Known = 0;
};

/// Live sessions at the control leader, and the member resources that follow
/// from them. Kept in memory and rebuilt from announcements and renewals.
class SessionTable {
public:
  static Result<std::unique_ptr<SessionTable>> create(SessionOptions Options);

  /// Starts with no session in the epoch \a NewEpoch; nothing expires and the
  /// member table stays incomplete until a full expiry time has passed.
  void becomeLeader(Term NewEpoch, ResourceTable &Members, Instant Now);
  /// After an outage of the leader's own, nothing expires until a full
  /// expiry time has passed.
  void restartGrace(Instant Now);

  /// Takes renewals and announcements. Returns Immediate when a member is
  /// leaving or gone, Soon on another change, None on renewals only.
  Urgency applyUplink(const UplinkBatch &Batch, Instant Now);
  /// Expires sessions and forgets departed incarnations.
  Urgency tick(Instant Now);
  /// Writes what changed since the last call to \a Members, in one step with
  /// one new version. Returns false when nothing changed.
  bool publish(ResourceTable &Members, Instant Now);

  bool complete(Instant Now) const { return Now >= this->GraceEnds; }
  std::size_t size() const { return this->Sessions.size(); }
  /// How many live sessions have at least \a Newest in force.
  InForceCount inForce(Revision Newest) const;
  /// Nodes per revision in force.
  std::map<Revision, std::size_t> histogram() const;
  /// Incarnations that departed within the retention time.
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
  void eraseDeparture(const Member &Announced);
  void endSession(SessionId Id, DepartureCause Cause, Instant Now);
  void recordDeparture(const DepartedMember &Departed, DepartureCause Cause,
                       std::uint64_t Sequence, Instant Now);
  void recordUnannounced(const ResourceTable &Members, Instant Now);
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
  /// Changes that are not yet published.
  std::map<std::string, std::optional<Json>> Unpublished;
};

} // namespace amaranthward

#endif
