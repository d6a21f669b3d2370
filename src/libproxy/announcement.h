#ifndef AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H
#define AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/units.h"
#include <optional>

namespace amaranthward {

/// Announcement of an upstream to the node beside it.
struct UpstreamAnnouncement {
  ServiceName Service;
  VersionName Version;
  Endpoint Address;
  /// Calls that the upstream can run at the same time.
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  /// The upstream is about to stop and takes no new calls.
  bool Leaving = false;
  /// Empty when the upstream does not state it.
  InstanceId Instance;
  /// Increases with each start of the upstream; 0 when not stated.
  std::uint64_t StartedAt = 0;
  /// Numbers the announcements of one start from 1; 0 when not stated.
  std::uint64_t Sequence = 0;
  /// How long the upstream stays cold; none when it does not state it.
  std::optional<Duration> ColdFor;

  /// Fails with InvalidArgument when a field is absent or out of range.
  static Result<UpstreamAnnouncement> parse(const Json &Body);

  /// Whether this is the first announcement of a start. No gate can have known
  /// that start or sent it a call before.
  bool isFirst() const { return this->Sequence == 1; }
  /// Whether both describe the same start of the same upstream.
  bool sameStart(const UpstreamAnnouncement &Other) const;
};

/// Message that one start of an upstream ends.
struct UpstreamEnd {
  InstanceId Instance;
  /// See UpstreamAnnouncement::StartedAt; 0 when not stated.
  std::uint64_t StartedAt = 0;
};

} // namespace amaranthward

#endif
