#ifndef AMARANTHWARD_LIBCONFIG_SETTINGS_H
#define AMARANTHWARD_LIBCONFIG_SETTINGS_H

#include "libcore/finding.h"
#include "libcore/ids.h"
#include "libcore/log.h"
#include "libcore/units.h"
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

/// Header fields in which callers and upstreams exchange the metadata of a call
/// with a node. An empty name switches the use of that field off.
struct HeaderNames {
  /// Id of a request, given by the caller and echoed by the upstream.
  std::string RequestId;
  /// Time left in milliseconds.
  std::string Deadline = "Amaranth-Deadline-Ms";
  /// The deadline is sent to upstreams in whole milliseconds.
  bool WholeMilliseconds = false;
  /// Class of a call, sent to upstreams.
  std::string Class = "Amaranth-Class";
  /// Present on each genuine response of an upstream.
  std::string Signature;
  /// The instance that is to run the request; any other answers 421.
  std::string ExpectedInstance;
  /// Present on a response of an upstream that did not run the request.
  std::string NotExecuted;
  /// Service beside the node at which the request began; set by the node.
  std::string CallerService;
};

/// How soon a dead parent is noticed. A shorter time costs a relay more
/// messages with each child, so it is for small sites.
struct SyncTimes {
  /// How long a request without news is parked, and how much longer its sender
  /// waits.
  Duration Hold = std::chrono::seconds(1);
  Duration SilenceMargin = std::chrono::seconds(1);
  /// A parent that has not heard from the leader for this time is left.
  Duration MaxParentLag = std::chrono::seconds(3);

  /// A parent with a tenth of a core is busy for this long while it puts a
  /// large set in force and sends it to its children.
  static constexpr Duration MinSilenceMargin = std::chrono::milliseconds(700);

  /// Times for \a Hold. A node that has lost its own parent finds the next one
  /// before its children leave it.
  static SyncTimes of(Duration Hold) {
    const Duration Margin = std::max(Hold, MinSilenceMargin);
    return {Hold, Margin, 3 * (Hold + Margin) / 2};
  }
};

/// Answers whether the node takes new callers.
struct ReadySettings {
  Endpoint Listen;
  std::string Path = "/ready";
};

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
  HeaderNames Headers;
  SyncTimes Sync;
  std::optional<ReadySettings> Ready;
  /// Service of the upstream beside the node, and of the requests that begin
  /// there; empty: the one that the upstream announces.
  ServiceName Service;
  /// Address of the upstream; announcements of others are refused. Empty: any.
  Endpoint Upstream;
  /// An upstream that is silent for this time is withdrawn.
  Duration UpstreamSilence = std::chrono::seconds(3);
  /// Longest time from a stop request to the end of the process.
  Duration Grace = std::chrono::seconds(62);
  /// Largest number of repeated requests at the upstreams of a service, as a
  /// share of its calls over the whole mesh, with those that repeated runs
  /// cause. None: only the set's own budget counts.
  std::optional<Share> RetryBound;
  /// Serves the users' platform beside the own interfaces.
  bool Platform = false;
  /// Where the metrics are served besides the local address.
  std::optional<Endpoint> MetricsListen;
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
  /// Addresses of some replicas, where the settings do not name all of them;
  /// \a Peers is empty then. Each replica is named by its address.
  std::vector<Endpoint> Seeds;
  SyncTimes Sync;
  /// With seeds: the whole system starts for the first time.
  bool FirstStart = false;
  /// With seeds: replicas that may be lost at the same time.
  std::uint32_t ToleratedLosses = 2;
  /// Calls that a version may get in its move, from the order to the deadline,
  /// if it turns out to be bad: a part of all calls, and some more.
  Share ExposureShare = Share(1000);
  std::uint32_t ExposureCalls = 50;
  /// Serves the users' platform beside the own interfaces.
  bool Platform = false;
  std::string DataFolder;
  /// Address under which others reach Listen, when they differ.
  std::optional<Endpoint> Advertise;
  /// Where the metrics are served besides the local address.
  std::optional<Endpoint> MetricsListen;
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
