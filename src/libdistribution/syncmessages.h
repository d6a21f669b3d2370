#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCMESSAGES_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCMESSAGES_H

#include "libdistribution/tablechunk.h"
#include "libdistribution/uplinkbatch.h"
#include <optional>
#include <string_view>

namespace amaranthward {

/// A process that may serve as parent.
struct ParentCandidate {
  NodeName Node;
  Endpoint Address;

  friend bool operator==(const ParentCandidate &,
                         const ParentCandidate &) = default;
};

/// Body of POST /v1/sync.
struct SyncRequest {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  /// Number of this request within the incarnation; the response repeats it.
  std::uint64_t Sequence = 0;
  /// What the child has in force. An empty cluster id means nothing.
  ClusterId Cluster;
  Revision InForce;
  TableVersion Members;
  /// A revision that failed the child's checks and is not wanted again.
  std::optional<Revision> Refused;
  /// Where transfers that need several chunks continue.
  std::optional<TableCursor> ReplicatedCursor;
  std::optional<TableCursor> MemberCursor;
  /// Renewals grouped by the revision in force carry the acknowledgements.
  UplinkBatch Uplink;
  /// The child has no member list and asks which parents it should use.
  bool WantsParents = false;
  /// The child's other candidates failed, so the leader itself serves it.
  bool Fallback = false;
  /// The child asks for a revision confirmed by a majority.
  bool WantsConfirmation = false;
};

struct SyncResponse {
  std::uint64_t Sequence = 0;
  /// What the parent has in force.
  ClusterId Cluster;
  Revision InForce;
  TableVersion Members;
  std::optional<TableChunk> ReplicatedChunk;
  std::optional<TableChunk> MemberChunk;
  /// How long the parent holds a request without news.
  Duration Hold = std::chrono::seconds(1);
  /// Not admitted; nothing else in the response is valid.
  std::optional<Duration> RetryAfter;
  /// Answer to \a WantsParents, first choice first. Empty: stay with this
  /// parent.
  std::optional<std::vector<ParentCandidate>> Parents;
  /// Time since the parent's chain last heard from the leader; 0 at the
  /// leader.
  Duration SourceAge = Duration::zero();
  /// Set by a leader whose leadership a majority confirmed after the request
  /// arrived.
  std::optional<Revision> Confirmed;
};

Json toJson(const SyncRequest &Request);
/// Fails with InvalidArgument on a missing or mistyped field. Renewals are
/// taken as received at \a Now.
Result<SyncRequest> syncRequestFromJson(const Json &Value, Instant Now);
Json toJson(const SyncResponse &Response);
Result<SyncResponse> syncResponseFromJson(const Json &Value);

} // namespace amaranthward

#endif
