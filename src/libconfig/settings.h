#ifndef AMARANTHWARD_LIBCONFIG_SETTINGS_H
#define AMARANTHWARD_LIBCONFIG_SETTINGS_H

#include "libcore/finding.h"
#include "libcore/ids.h"
#include "libcore/log.h"
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

/// Settings of `amaranthward node`.
struct NodeSettings {
  NodeName Name;
  ZoneName Zone;
  RegionName Region;
  /// Where callers connect.
  Endpoint Listen;
  /// Where other nodes connect.
  Endpoint PeerListen;
  /// Announcements of the upstream, dump and metrics.
  Endpoint LocalListen;
  /// Control replicas.
  std::vector<Endpoint> Control;
  /// Peer addresses of nodes on other VMs in the same zone.
  std::vector<Endpoint> Witnesses;
  /// Address under which other nodes reach PeerListen, when they differ.
  std::optional<Endpoint> Advertise;
  LogOptions Log;
};

struct ControlPeer {
  ReplicaName Name;
  Endpoint Address;
};

/// Settings of `amaranthward control`.
struct ControlSettings {
  ReplicaName Name;
  ZoneName Zone;
  Endpoint Listen;
  /// The other replicas.
  std::vector<ControlPeer> Peers;
  std::string DataFolder;
  /// Address under which others reach Listen, when they differ.
  std::optional<Endpoint> Advertise;
  LogOptions Log;
};

template <typename T> struct SettingsOutcome {
  /// Present only when no finding is an error.
  std::optional<T> Settings;
  Findings All;
};

/// Read settings in YAML. All problems are reported together. Never throw.
SettingsOutcome<NodeSettings> readNodeSettings(const std::string &Text,
                                               const std::string &FileName);
SettingsOutcome<ControlSettings>
readControlSettings(const std::string &Text, const std::string &FileName);

} // namespace amaranthward

#endif
