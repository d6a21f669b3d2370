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

/// One upstream of the service and version for which a choice is made.
struct UpstreamCandidate {
  NodeName Node;
  Incarnation Start;
  ZoneName Zone;
  RegionName Region;
  std::uint32_t Slots = 1;
  bool Leaving = false;
};

/// Names a candidate as long as it stays in the set; never reused.
using UpstreamHandle = StrongNumber<struct UpstreamHandleTag>;

/// How an attempt at an upstream ended, as seen by the sender.
enum class AttemptResult {
  Success,
  /// The connection was refused or could not be opened.
  ConnectFailed,
  /// The upstream or its node failed after it took the request.
  Failure,
  Timeout,
  /// The gate refused with not-run because it is full; not a fault.
  Shed,
  /// The gate refused with not-run because it is leaving.
  Leaving,
  /// The caller went away; says nothing.
  Cancelled,
};

/// How much load a nearer candidate may have before a farther one is chosen.
enum class LocalityPreference {
  Normal,
  /// For calls with large bodies: twice the load. Bytes between zones cost more
  /// than a short wait.
  Strong,
};

struct UpstreamSelectorSettings {
  ZoneName OwnZone;
  RegionName OwnRegion;
  /// Candidates ejected for failures and timeouts, as a share of those in
  /// service. The last candidate is never ejected.
  Share MaxEjected = Share(5000);
  /// The same with refused connections included: nothing runs there, so no
  /// capacity is lost by the ejection.
  Share MaxRefused = Share(9000);
  Duration FirstEjection = std::chrono::milliseconds(500);
  Duration LongestEjection = std::chrono::seconds(30);
  /// Failures in a row that eject; a refused connection ejects at once.
  std::uint32_t FailuresToEject = 3;
};

/// Chooses an upstream for each attempt. One instance per service and version
/// at each entry.
class UpstreamSelector {
public:
  /// Fails with InvalidArgument when \a Random is empty.
  static Result<UpstreamSelector>
  create(const UpstreamSelectorSettings &Settings, RandomFunction Random);

  UpstreamSelector(UpstreamSelector &&) noexcept;
  UpstreamSelector &operator=(UpstreamSelector &&) noexcept;
  ~UpstreamSelector();

  /// Replaces the candidates. Measurements are kept for a candidate with the
  /// same node and incarnation, and start anew for others. Members that are
  /// leaving or in a zone of \a OutOfService are never chosen.
  void setCandidates(const std::vector<UpstreamCandidate> &All,
                     const std::set<ZoneName> &OutOfService, Instant Now);

  /// Chooses an upstream and counts the attempt as in flight until finish().
  /// None when no candidate is in service. \a Avoid lists candidates that this
  /// call already tried; they are used only when nothing else is left.
  std::optional<UpstreamHandle>
  choose(Instant Now, std::span<const UpstreamHandle> Avoid = {},
         LocalityPreference Near = LocalityPreference::Normal);

  /// Whether a candidate in service is not in \a Tried.
  bool hasUntried(std::span<const UpstreamHandle> Tried) const;

  /// Ends an attempt. Handles of removed candidates are ignored.
  void finish(UpstreamHandle Handle, AttemptResult Result, Duration Latency,
              Instant Now);

  /// In-flight work and limit that the gate reported with a response. A hint:
  /// it adds to the own count for \a HintLife and never ejects.
  void hintLoad(UpstreamHandle Handle, std::uint32_t InFlight,
                std::uint32_t Limit, Instant Now);

  /// None when the handle is no longer in the set.
  const UpstreamCandidate *find(UpstreamHandle Handle) const;
  bool isEjected(UpstreamHandle Handle, Instant Now) const;
  std::size_t inService() const;
  std::size_t ejected(Instant Now) const;

  static constexpr Duration HintLife = std::chrono::seconds(1);

private:
  class Impl;
  explicit UpstreamSelector(std::unique_ptr<Impl> Body);
  std::unique_ptr<Impl> Body;
};

} // namespace amaranthward

#endif
