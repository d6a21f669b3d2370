#ifndef AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H
#define AMARANTHWARD_LIBPROXY_ANNOUNCEMENT_H

#include "libcore/ids.h"
#include "libcore/json.h"

namespace amaranthward {

/// What an upstream tells the node beside it.
struct UpstreamAnnouncement {
  ServiceName Service;
  VersionName Version;
  Endpoint Address;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool Leaving = false;

  /// Fails with InvalidArgument when a field is absent or out of range.
  static Result<UpstreamAnnouncement> parse(const Json &Body);

  friend bool operator==(const UpstreamAnnouncement &,
                         const UpstreamAnnouncement &) = default;
};

} // namespace amaranthward

#endif
