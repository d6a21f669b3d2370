#ifndef AMARANTHWARD_LIBCORE_IDS_H
#define AMARANTHWARD_LIBCORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace amaranthward {

/// A name that cannot be mixed up with a name of another kind.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Value) : Value(std::move(Value)) {}

  const std::string &str() const { return this->Value; }
  bool empty() const { return this->Value.empty(); }

  friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
  std::string Value;
};

/// A number that cannot be mixed up with a number of another kind.
template <typename Tag> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t Value) : Value(Value) {}

  constexpr std::uint64_t value() const { return this->Value; }
  constexpr StrongNumber next() const { return StrongNumber(this->Value + 1); }

  friend constexpr auto operator<=>(StrongNumber, StrongNumber) = default;

private:
  std::uint64_t Value = 0;
};

using ServiceName = StrongId<struct ServiceNameTag>;
using VersionName = StrongId<struct VersionNameTag>;
using ZoneName = StrongId<struct ZoneNameTag>;
using RegionName = StrongId<struct RegionNameTag>;
using RouteName = StrongId<struct RouteNameTag>;
/// Names one start of an upstream.
using InstanceId = StrongId<struct InstanceIdTag>;
using NodeName = StrongId<struct NodeNameTag>;
using ReplicaName = StrongId<struct ReplicaNameTag>;
/// Random identity of a control replica's data folder.
using DiskIdentity = StrongId<struct DiskIdentityTag>;
using ClusterId = StrongId<struct ClusterIdTag>;
/// Socket address as text, "ADDRESS:PORT".
using Endpoint = StrongId<struct EndpointTag>;

/// The number that operators give a configuration set.
using OperatorVersion = StrongNumber<struct OperatorVersionTag>;
/// Log index of the record that changed the facts.
using Revision = StrongNumber<struct RevisionTag>;
using LogIndex = StrongNumber<struct LogIndexTag>;
using Term = StrongNumber<struct TermTag>;
/// Random number of one process start.
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace amaranthward

template <typename Tag> struct std::hash<amaranthward::StrongId<Tag>> {
  std::size_t operator()(const amaranthward::StrongId<Tag> &Id) const {
    return std::hash<std::string>()(Id.str());
  }
};

template <typename Tag> struct std::hash<amaranthward::StrongNumber<Tag>> {
  std::size_t operator()(amaranthward::StrongNumber<Tag> Number) const {
    return std::hash<std::uint64_t>()(Number.value());
  }
};

#endif
