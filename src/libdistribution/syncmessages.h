#ifndef AMARANTHWARD_LIBDISTRIBUTION_SYNCMESSAGES_H
#define AMARANTHWARD_LIBDISTRIBUTION_SYNCMESSAGES_H

#include "libdistribution/chunkcache.h"
#include "libdistribution/uplinkbatch.h"
#include <optional>
#include <string_view>

namespace amaranthward {

/// A node that may serve as parent.
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
  /// The replicated state that the child has in force; an empty cluster id
  /// means none.
  ClusterId Cluster;
  Revision InForce;
  TableVersion Members;
  /// A revision that failed the child's checks and must not be sent again.
  std::optional<Revision> Refused;
  /// Continue transfers of several chunks; absent when none is in progress.
  std::optional<TableCursor> ReplicatedCursor;
  std::optional<TableCursor> MemberCursor;
  /// Reports of the child and its subtree. Each renewal also acknowledges the
  /// revision in force.
  UplinkBatch Uplink;
  /// The child has no member list and requests its parent candidates.
  bool WantsParents = false;
  /// The child's other candidates failed, so the leader itself serves it.
  bool Fallback = false;
  /// The child requests a revision confirmed by a majority.
  bool WantsConfirmation = false;
  /// Only \a Uplink counts: the request is answered at once, without chunks,
  /// and does not replace the child's parked request.
  bool ReportOnly = false;
  /// The child accepts compressed chunks; see encodeSyncResponse().
  bool TakesCompressed = false;
};

struct SyncResponse {
  std::uint64_t Sequence = 0;
  /// The replicated state that the parent has in force.
  ClusterId Cluster;
  Revision InForce;
  TableVersion Members;
  std::optional<TableChunk> ReplicatedChunk;
  std::optional<TableChunk> MemberChunk;
  /// The same in compressed form, shared by the responses to several children;
  /// set instead of the chunks for a child that accepts it. In a decoded
  /// response the replicated one is set beside its chunk, to be passed on.
  SharedChunk CompressedReplicatedChunk;
  SharedChunk CompressedMemberChunk;
  /// Time for which the parent holds a request when nothing has changed.
  Duration Hold = std::chrono::seconds(1);
  /// Set when the child was not admitted: time after which to retry. Only
  /// \a Sequence is valid beside it.
  std::optional<Duration> RetryAfter;
  /// Parent candidates, first choice first. An empty list tells the child to
  /// stay with this parent.
  std::optional<std::vector<ParentCandidate>> Parents;
  /// Time since the parent's last contact with the leader through its chain of
  /// parents; 0 at the leader.
  Duration SourceAge = Duration::zero();
  /// The parent and those that it follows, as far as it knows them, nearest
  /// first. A child that finds itself here would follow itself. Empty at the
  /// leader.
  std::vector<NodeName> Chain;
  /// Set by a leader whose leadership a majority confirmed after the request
  /// arrived.
  std::optional<Revision> Confirmed;
};

Json toJson(const SyncRequest &Request);
/// Fails with InvalidArgument on a missing or mistyped field. Renewals are
/// taken as received at \a Now.
Result<SyncRequest> syncRequestFromJson(const Json &Value, Instant Now);
/// Without the compressed chunks.
Json toJson(const SyncResponse &Response);
/// Fails with InvalidArgument on a missing or mistyped field.
Result<SyncResponse> syncResponseFromJson(const Json &Value);

/// The body of a response: its JSON, and with compressed chunks a line feed and
/// their bytes. The JSON then has their lengths, in bytes, as "rz" and "mz".
std::string encodeSyncResponse(const SyncResponse &Response);
/// Fails with InvalidArgument or Corrupt on a malformed body, and with
/// Exhausted on a chunk of more than \a MaxChunkBytes after decompression.
Result<SyncResponse> decodeSyncResponse(std::string_view Body,
                                        std::size_t MaxChunkBytes);

} // namespace amaranthward

#endif
