#ifndef AMARANTHWARD_LIBCONTROL_CONTROLDATA_H
#define AMARANTHWARD_LIBCONTROL_CONTROLDATA_H

#include "libconfig/configurationset.h"
#include "libcore/resource.h"
#include "libpolicy/movestate.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace amaranthward {

/// One accepted configuration set, as the history lists it.
struct AcceptedSet {
  OperatorVersion Version;
  std::string Digest;
  Revision AcceptedIn;
  WallTime AcceptedAt;

  friend bool operator==(const AcceptedSet &, const AcceptedSet &) = default;
};

/// A move with the number of records that changed it. A record names the
/// number that it is based on, so a late record of an earlier leader is
/// ignored.
struct MoveRecord {
  MoveState State;
  std::uint64_t Steps = 0;
  /// Record that changed the move last.
  Revision ChangedIn;
};

/// Traffic of one service.
struct ServiceState {
  Split InForce;
  /// The open move, or a finished one whose candidate is still watched.
  std::optional<MoveRecord> Move;

  bool hasOpenMove() const { return this->Move && !this->Move->State.ended(); }
};

/// One change of a move that operators are told of.
struct MoveEvent {
  std::uint64_t Sequence = 0;
  std::string MoveId;
  ServiceName Service;
  MovePhase Phase = MovePhase::Pending;
  std::string Reason;
  /// Share of the move's driver in force.
  Share InForce;
  WallTime At;
};

struct BadMark {
  std::string Reason;
  WallTime MarkedAt;
};

using ServiceVersion = std::pair<ServiceName, VersionName>;

/// The replicated state. Changed by commands only; see ControlState.
struct ControlData {
  static constexpr std::size_t MaxHistory = 1000;
  static constexpr std::size_t MaxEvents = 10000;

  std::optional<ConfigurationSet> Current;
  std::deque<AcceptedSet> History;
  std::map<ServiceName, ServiceState> Services;
  /// Versions that get no traffic.
  std::map<ServiceVersion, BadMark> BadMarks;
  /// Zones that an order took out of service.
  std::set<ZoneName> ZonesOutOfService;
  std::deque<MoveEvent> Events;
  std::uint64_t LastEvent = 0;
  /// The newest record that was applied.
  Revision Applied;
  /// The newest record that changed the resources.
  Revision Changed;

  /// Whether the service's versions are those that its upstreams announce.
  bool hasAnnouncedVersions(const ServiceName &Service) const;
  /// The newest accepted set, or null.
  const AcceptedSet *newest() const;
  void addEvent(const MoveState &Move, WallTime At);
  /// Everything that nodes need of this state.
  ResourceMap resources() const;

  static Json toJson(const ControlData &Data);
  /// Fails with InvalidArgument on a missing or malformed field.
  static Result<ControlData> fromJson(const Json &Value);
};

/// A split without the versions whose share is zero.
Split withoutZeroShares(const Split &Shares);

} // namespace amaranthward

#endif
