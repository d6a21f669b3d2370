#ifndef AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H
#define AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/units.h"
#include <optional>

namespace amaranthward {

/// What an upstream tells the node beside it.
struct UpstreamAnnouncement {
  ServiceName Service;
  VersionName Version;
  Endpoint Address;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool Leaving = false;
  /// Empty when the upstream does not name its start.
  InstanceId Instance;
  /// Orders the starts of an upstream; 0 when not stated.
  std::uint64_t StartedAt = 0;
  /// Numbers the announcements of one start from 1; 0 when not stated.
  std::uint64_t Sequence = 0;
  /// How long the upstream stays cold; none when it does not state it.
  std::optional<Duration> ColdFor;

  /// Fails with InvalidArgument when a field is absent or out of range.
  static Result<UpstreamAnnouncement> parse(const Json &Body);

  /// The first word of a start: no process can have known that start before,
  /// nor have sent it a call.
  bool isFirst() const { return this->Sequence == 1; }
  /// Whether both describe the same start of the same upstream.
  bool sameStart(const UpstreamAnnouncement &Other) const;
};

/// The last word of one start of an upstream.
struct UpstreamEnd {
  InstanceId Instance;
  /// See UpstreamAnnouncement::StartedAt; 0 when not stated.
  std::uint64_t StartedAt = 0;
};

} // namespace amaranthward

#endif
