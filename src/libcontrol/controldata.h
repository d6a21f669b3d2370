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

/// History entry of one accepted configuration set.
struct AcceptedSet {
  OperatorVersion Version;
  std::string Digest;
  Revision AcceptedIn;
  WallTime AcceptedAt;

  friend bool operator==(const AcceptedSet &, const AcceptedSet &) = default;
};

/// A move and the number of records that changed it. A RecordMove command names
/// the count that it expects, so a delayed record of a former leader is
/// ignored.
struct MoveRecord {
  MoveState State;
  std::uint64_t ChangeCount = 0;
  /// Revision of the record that changed the move last.
  Revision ChangedIn;
};

/// Traffic split of one service and its newest move.
struct ServiceState {
  /// Empty while the service is not split between its versions.
  Split InForce;
  /// The open move, or a finished one: its candidate is still monitored, or the
  /// versions are announced and the result is kept for operators.
  std::optional<MoveRecord> Move;

  bool hasOpenMove() const { return this->Move && !this->Move->State.ended(); }
};

/// Change of a move's phase, as listed to operators.
struct MoveEvent {
  /// Counts from 1 without gaps.
  std::uint64_t Sequence = 0;
  std::string MoveId;
  ServiceName Service;
  MovePhase Phase = MovePhase::Pending;
  std::string Reason;
  /// Share in force of the version that drives the move (MoveState::Driver).
  Share InForce;
  WallTime At;
};

/// Why and when a version was marked bad.
struct BadMark {
  std::string Reason;
  WallTime MarkedAt;
};

using ServiceVersion = std::pair<ServiceName, VersionName>;

/// State that all control replicas hold. Only the commands that ControlState
/// applies change it.
struct ControlData {
  /// Entries of History and Events; the oldest are removed first.
  static constexpr std::size_t MaxHistory = 1000;
  static constexpr std::size_t MaxEvents = 10000;

  /// Unset until the first set is accepted.
  std::optional<ConfigurationSet> Current;
  std::deque<AcceptedSet> History;
  std::map<ServiceName, ServiceState> Services;
  /// Versions that receive no traffic.
  std::map<ServiceVersion, BadMark> BadMarks;
  /// Zones that an operator's order took out of service, in addition to those
  /// that the set takes out.
  std::set<ZoneName> ZonesOutOfService;
  std::deque<MoveEvent> Events;
  /// Sequence of the newest event; 0 before the first.
  std::uint64_t LastEvent = 0;
  /// Revision of the newest record that was applied.
  Revision Applied;
  /// Revision of the newest record that changed the resources.
  Revision Changed;

  /// Whether the set lists no versions for the service, so that its versions
  /// are those that its upstreams announce. False for an unknown service.
  bool hasAnnouncedVersions(const ServiceName &Service) const;
  /// The newest accepted set, or null.
  const AcceptedSet *newest() const;
  /// Appends an event with the current phase and reason of \a Move.
  void addEvent(const MoveState &Move, WallTime At);
  /// The resources that nodes receive; empty before the first set.
  ResourceMap resources() const;

  static Json toJson(const ControlData &Data);
  /// Fails with InvalidArgument on a missing or malformed field.
  static Result<ControlData> fromJson(const Json &Value);
};

/// Copy of \a Shares without the versions whose share is zero.
Split withoutZeroShares(const Split &Shares);

} // namespace amaranthward

#endif
