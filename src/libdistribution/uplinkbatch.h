#ifndef AMARANTHWARD_LIBDISTRIBUTION_UPLINKBATCH_H
#define AMARANTHWARD_LIBDISTRIBUTION_UPLINKBATCH_H

#include "libcore/json.h"
#include "libcore/units.h"
#include "libdistribution/member.h"
#include <map>
#include <string>
#include <vector>

namespace amaranthward {

/// Random number below 2^53, which JSON readers that use doubles keep exactly.
using SessionId = StrongNumber<struct SessionIdTag>;

SessionId randomSession(const RandomFunction &Random);

/// A node's report of its own member data.
struct Announcement {
  SessionId Session;
  /// Number of this announcement within the incarnation; the highest one takes
  /// effect.
  std::uint64_t Sequence = 0;
  Member Announced;
  /// True when the process is about to exit: its session ends at once.
  bool EndsSession = false;
};

/// Cumulative counters of one reporting node, opaque to this library.
struct ReporterCounters {
  NodeName Reporter;
  Incarnation Start;
  Json Counters;
};

/// A revision that a node received but did not put in force.
struct RefusedRevision {
  NodeName Node;
  Revision Refused;
  std::string Reason;
};

/// How soon a batch is sent to the parent: with the next request, within the
/// linger time of observations, within the linger time of acknowledgements and
/// announcements, or at once.
enum class Urgency { None, Later, Soon, Immediate };

/// The reports of a subtree to the leader, without duplicates. Merging is
/// idempotent; of two incarnations of one node the later arrival is kept.
class UplinkBatch {
public:
  /// Renews \a Session and acknowledges the revision that its node has in
  /// force.
  void renew(SessionId Session, Revision InForce, Instant Received);
  void announce(const Announcement &Received);
  void observe(const ReporterCounters &Received);
  void refuse(const RefusedRevision &Received);
  void merge(const UplinkBatch &Other);
  /// Drops renewals received before \a Oldest, so that a delayed message does
  /// not extend the session of a stopped node.
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
