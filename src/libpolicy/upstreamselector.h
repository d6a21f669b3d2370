#ifndef AMARANTHWARD_LIBPOLICY_UPSTREAMSELECTOR_H
#define AMARANTHWARD_LIBPOLICY_UPSTREAMSELECTOR_H

#include "libcore/ids.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace amaranthward {

/// An upstream of the service and version that a selector serves.
struct UpstreamCandidate {
  NodeName Node;
  /// Identifies the process of the node; a restarted one is a new candidate.
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
  /// Maximum number of calls that the upstream runs concurrently.
  std::uint32_t Slots = 1;
  /// The upstream is about to stop and takes no new calls.
  bool Leaving = false;
};

/// Identifies a candidate while it is in the set of a selector; never reused.
using UpstreamHandle = StrongNumber<struct UpstreamHandleTag>;

/// How an attempt at an upstream ended, as seen by the sender.
enum class AttemptResult {
  Success,
  /// The connection was refused or could not be opened.
  ConnectFailed,
  /// The upstream or its node failed after it took the request.
  Failure,
  Timeout,
  /// The gate answered not-run because it is full; not a failure.
  Shed,
  /// The gate answered not-run because it is leaving.
  Leaving,
  /// Cancelled by the caller; not counted as a result of the upstream.
  Cancelled,
};

/// Load of a nearer candidate above which a farther one is chosen.
enum class LocalityPreference {
  Normal,
  /// Twice the load of Normal. For calls with large bodies, where the transfer
  /// between zones costs more than a short wait.
  Strong,
};

struct UpstreamSelectorSettings {
  /// Where the caller of the selector runs; nearer candidates are preferred.
  ZoneName OwnZone;
  RegionName OwnRegion;
  /// Maximum share of the candidates in service that failures and timeouts may
  /// eject. The last candidate is never ejected.
  Share MaxEjected = Share(5000);
  /// The same with failed connections included: nothing runs at such a
  /// candidate, so its ejection loses no capacity.
  Share MaxEjectedWithConnectFailures = Share(9000);
  /// Duration of the first ejection of a candidate; doubled by each further one
  /// up to MaxEjectionTime, and then extended by a random time of up to a
  /// quarter.
  Duration InitialEjectionTime = std::chrono::milliseconds(500);
  Duration MaxEjectionTime = std::chrono::seconds(30);
  /// Number of consecutive failures that eject a candidate. A failed connection
  /// ejects at once.
  std::uint32_t FailuresToEject = 3;
};

/// Chooses an upstream for each attempt by locality, load, latency and
/// failures, and ejects failing ones for a time (outlier ejection). Each entry
/// has one instance per service and version.
class UpstreamSelector {
public:
  /// Fails with InvalidArgument when \a Random is empty.
  static Result<UpstreamSelector>
  create(const UpstreamSelectorSettings &Settings, RandomFunction Random);

  UpstreamSelector(UpstreamSelector &&) noexcept;
  UpstreamSelector &operator=(UpstreamSelector &&) noexcept;
  ~UpstreamSelector();

  /// Replaces the candidates. Measurements are kept for a candidate with the
  /// same node and incarnation, and start anew for others. Candidates that are
  /// leaving or in a zone of \a OutOfService are never chosen; the others count
  /// as in service.
  void setCandidates(const std::vector<UpstreamCandidate> &All,
                     const std::set<ZoneName> &OutOfService, Instant Now);

  /// Chooses an upstream and counts the attempt as in flight until finish().
  /// None when no candidate is in service. \a Avoid lists candidates that the
  /// call already tried; they are chosen only when there is no other.
  std::optional<UpstreamHandle>
  choose(Instant Now, std::span<const UpstreamHandle> Avoid = {},
         LocalityPreference Locality = LocalityPreference::Normal);

  /// Whether an available candidate is not in \a Tried.
  bool hasUntried(std::span<const UpstreamHandle> Tried) const;

  /// Ends an attempt and records its result. \a Latency counts only for a
  /// success. Handles of removed candidates are ignored.
  void finish(UpstreamHandle Handle, AttemptResult Result, Duration Latency,
              Instant Now);

  /// Sets the running calls and the limit that the gate reported with a
  /// response. The report supplements the own count for HintTimeout and never
  /// ejects.
  void hintLoad(UpstreamHandle Handle, std::uint32_t InFlight,
                std::uint32_t Limit, Instant Now);

  /// Null when the candidate is no longer in the set.
  const UpstreamCandidate *find(UpstreamHandle Handle) const;
  bool isEjected(UpstreamHandle Handle, Instant Now) const;
  /// Number of candidates in service, ejected ones included.
  std::size_t inService() const;
  /// Number of candidates in service that are ejected.
  std::size_t ejected(Instant Now) const;

  /// Time after which a load report no longer counts.
  static constexpr Duration HintTimeout = std::chrono::seconds(1);

private:
  class Impl;
  explicit UpstreamSelector(std::unique_ptr<Impl> Body);
  std::unique_ptr<Impl> Body;
};

} // namespace amaranthward

#endif
