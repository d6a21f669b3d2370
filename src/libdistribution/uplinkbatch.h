#ifndef AMARANTHWARD_LIBDISTRIBUTION_UPLINKBATCH_H
#define AMARANTHWARD_LIBDISTRIBUTION_UPLINKBATCH_H

#include "libcore/json.h"
#include "libcore/units.h"
#include "libdistribution/member.h"
#include <map>
#include <string>
#include <vector>

namespace amaranthward {

/// Random number below 2^53, so that every JSON reader keeps it exact.
using SessionId = StrongNumber<struct SessionIdTag>;

SessionId randomSession(const RandomFunction &Random);

/// A node's statement about itself.
struct Announcement {
  SessionId Session;
  /// Counts the announcements of one incarnation; the highest one holds.
  std::uint64_t Sequence = 0;
  Member Announced;
  /// The process is about to exit: its session ends at once.
  bool EndsSession = false;
};

/// Cumulative counters of one reporter, opaque to this library.
struct ReporterCounters {
  NodeName Reporter;
  Incarnation Start;
  Json Counters;
};

/// A revision that a node received and did not put in force.
struct RefusedRevision {
  NodeName Node;
  Revision Refused;
  std::string Reason;
};

/// How soon a batch should travel upward: with the next request, within the
/// linger time of observations, within the linger time of acknowledgements and
/// announcements, or at once.
enum class Urgency { None, Later, Soon, Immediate };

/// What a subtree has to say to the leader, without duplicates. Merging is
/// idempotent; of two incarnations of one node the later arrival holds.
class UplinkBatch {
public:
  /// Renews \a Session and states the revision that its node has in force.
  void renew(SessionId Session, Revision InForce, Instant Received);
  void announce(const Announcement &Received);
  void observe(const ReporterCounters &Received);
  void refuse(const RefusedRevision &Received);
  void merge(const UplinkBatch &Other);
  /// Drops renewals received before \a Oldest, so that a message that was
  /// held up does not keep a dead session alive.
  void dropRenewalsBefore(Instant Oldest);
  bool empty() const;

  struct Renewal {
    Revision InForce;
    Instant Received;
  };
  const std::map<SessionId, Renewal> &renewals() const {
    return this->Renewals;
  }
  const std::map<NodeName, Announcement> &announcements() const {
    return this->Announcements;
  }
  const std::map<NodeName, ReporterCounters> &observations() const {
    return this->Observations;
  }
  const std::map<NodeName, RefusedRevision> &refusals() const {
    return this->Refusals;
  }

private:
  std::map<SessionId, Renewal> Renewals;
  std::map<NodeName, Announcement> Announcements;
  std::map<NodeName, ReporterCounters> Observations;
  std::map<NodeName, RefusedRevision> Refusals;
};

Json toJson(const UplinkBatch &Batch);
/// Fails with InvalidArgument on a malformed entry. Renewals are taken as
/// received at \a Now.
Result<UplinkBatch> uplinkBatchFromJson(const Json &Value, Instant Now);

} // namespace amaranthward

#endif
