#include "libconfig/configurationcodec.h"
#include "libcontrol/controlfixture.h"
#include "libcontrol/controlstate.h"
#include "libcontrol/recordmove.h"
#include "libcontrol/setzoneinservice.h"
#include "libcontrol/startmove.h"
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// A set for one service whose versions are those that its upstreams announce.
ConfigurationSet announcedVersionsSet(std::uint64_t Version, std::uint64_t Base,
                                      Duration Timeout = 1s) {
  ConfigurationSet Set;
  Set.Version = OperatorVersion(Version);
  Set.Base = OperatorVersion(Base);
  ServiceSpec Shop;
  Shop.Name = ServiceName("shop");
  Set.Services.push_back(Shop);
  RouteSpec Look;
  Look.Name = RouteName("look");
  Look.PathPrefix = "/l/";
  Look.Service = Shop.Name;
  Look.Timeout = Timeout;
  Set.Routes.push_back(Look);
  return Set;
}

/// Applies commands to a replicated state machine, one record each.
struct TestReplica {
  ApplyOutcome apply(const ConfigurationSet &Set) {
    LogIndex At = this->next();
    this->Machine.apply(
        At, ControlState::encode(
                ApplyConfiguration::create(Set, WallTime())->toJson()));
    return *this->Machine.outcomeOf(At);
  }
  template <typename Command> void order(const Command &Order) {
    this->Machine.apply(this->next(), ControlState::encode(Order.toJson()));
  }
  const ControlData &data() const { return this->Machine.data(); }
  LogIndex next() { return LogIndex(++this->Last); }

  ControlState Machine = *ControlState::create();
  std::uint64_t Last = 0;
};

const OperatorMoveRequest ToV2{ServiceName("shop"), VersionName("v2"), 15s};

} // namespace

TEST_CASE("A set is accepted only on top of the version it was written for") {
  // Guards against an operator who overwrites a change made since the version
  // the set was based on.
  TestReplica Replica;
  using Kind = ApplyOutcome::Kind;
  CHECK(Replica.apply(announcedVersionsSet(1, 0)).What == Kind::Accepted);
  CHECK(Replica.apply(announcedVersionsSet(4, 1)).What == Kind::Accepted);
  CHECK(Replica.apply(announcedVersionsSet(6, 1)).What == Kind::BaseMismatch);
  CHECK(Replica.apply(announcedVersionsSet(4, 1, 2s)).What == Kind::Conflict);
  CHECK(Replica.apply(announcedVersionsSet(3, 4)).What == Kind::Stale);
  // A resend after another change gets the first outcome, not BaseMismatch.
  CHECK(Replica.apply(announcedVersionsSet(6, 4)).What == Kind::Accepted);
  CHECK(Replica.apply(announcedVersionsSet(4, 1)).What == Kind::Repeated);
  CHECK(Replica.data().Current->Version == OperatorVersion(6));
}

namespace {

ConfigurationSet withSource(ConfigurationSet Set, const std::string &Source) {
  Set.Source = Source;
  return Set;
}

/// Applies a set as an earlier build recorded it, with the digest of its
/// decoded fields.
void applyFormerRecord(TestReplica &Replica, const ConfigurationSet &Set) {
  Json Record = ApplyConfiguration::create(Set, WallTime())->toJson();
  Record["digest"] = formerDigestOf(Set);
  Replica.Machine.apply(Replica.next(), ControlState::encode(Record));
}

} // namespace

TEST_CASE("Two sets under one number that differ in their text conflict") {
  // Guards against two operators who are both told that their change is in
  // force, because the changes differ only in a field that is not decoded.
  TestReplica Replica;
  using Kind = ApplyOutcome::Kind;
  ConfigurationSet Base = announcedVersionsSet(1, 0);
  CHECK(Replica.apply(withSource(Base, "a")).What == Kind::Accepted);
  CHECK(Replica.apply(withSource(Base, "b")).What == Kind::Conflict);
  CHECK(Replica.apply(withSource(Base, "a")).What == Kind::Repeated);
  CHECK(Replica.data().Current->Source == "a");
  // The same once another set and a snapshot followed.
  ConfigurationSet Next = announcedVersionsSet(2, 1);
  CHECK(Replica.apply(withSource(Next, "c")).What == Kind::Accepted);
  REQUIRE(Replica.Machine.restoreSnapshot(Replica.Machine.takeSnapshot())
              .has_value());
  CHECK(Replica.apply(withSource(Base, "b")).What == Kind::Conflict);
  CHECK(Replica.apply(withSource(Base, "a")).What == Kind::Repeated);
}

TEST_CASE("A set on an old disk is known when it is sent again") {
  // Guards against an upgrade after which the resend of an acknowledged set is
  // a conflict, because the stored digest is that of an earlier build.
  TestReplica Replica;
  using Kind = ApplyOutcome::Kind;
  ConfigurationSet First = withSource(announcedVersionsSet(1, 0), "a");
  ConfigurationSet Second = withSource(announcedVersionsSet(2, 1), "b");
  applyFormerRecord(Replica, First);
  applyFormerRecord(Replica, Second);
  SUBCASE("from the log") {}
  SUBCASE("from a snapshot") {
    REQUIRE(Replica.Machine.restoreSnapshot(Replica.Machine.takeSnapshot())
                .has_value());
  }
  REQUIRE(Replica.data().newest()->Digest == formerDigestOf(Second));
  CHECK(Replica.apply(First).What == Kind::Repeated);
  CHECK(Replica.apply(Second).What == Kind::Repeated);
  // Of the current set the text is known.
  CHECK(Replica.apply(withSource(Second, "c")).What == Kind::Conflict);
  CHECK(Replica.apply(announcedVersionsSet(1, 0, 2s)).What == Kind::Conflict);
}

TEST_CASE("A zone taken out by an order stays out after a set and a snapshot") {
  // Guards against a later set or a restart that puts a zone back in service
  // although an operator took it out.
  TestReplica Replica;
  Replica.apply(announcedVersionsSet(1, 0));
  Replica.order(*SetZoneInService::create(ZoneName("z"), false));
  Revision Changed = Replica.data().Changed;
  Replica.order(*SetZoneInService::create(ZoneName("z"), false));
  CHECK(Replica.data().Changed == Changed);
  Replica.apply(announcedVersionsSet(2, 1));
  ControlState Restored = *ControlState::create();
  REQUIRE(Restored.restoreSnapshot(Replica.Machine.takeSnapshot()).has_value());
  CHECK(Restored.data().ZonesOutOfService == std::set<ZoneName>{ZoneName("z")});
  CHECK(Restored.data().resources().contains("zone-out/z"));
  Replica.order(*SetZoneInService::create(ZoneName("z"), true));
  CHECK_FALSE(Replica.data().resources().contains("zone-out/z"));
}

TEST_CASE("A repeated order does not start its move again") {
  // Guards against a resent order that restarts an open or finished move.
  TestReplica Replica;
  Replica.apply(announcedVersionsSet(1, 0));
  CHECK_FALSE(StartMove::isNewestTarget(Replica.data(), ToV2));
  auto Start = StartMove::create(ToV2, VersionName("v1"), WallTime());
  Replica.order(*Start);
  const ServiceState &Shop = Replica.data().Services.at(ServiceName("shop"));
  REQUIRE(Shop.hasOpenMove());
  std::string Id = Shop.Move->State.Id;
  Replica.order(*Start);
  CHECK(Shop.Move->State.Id == Id);

  MoveDecision End{MoveAction::End,
                   Shop.Move->State.endedAs(MovePhase::TakenBack,
                                            MoveReason::BadVersion, WallTime()),
                   true};
  Replica.order(*RecordMove::create(End, 0, WallTime()));
  CHECK((Shop.Move->State.Phase == MovePhase::TakenBack));
  CHECK(StartMove::isNewestTarget(Replica.data(), ToV2));
  // Only the rejected version is excluded; versions announced later are not.
  CHECK(Shop.InForce.empty());
  CHECK(Replica.data().BadMarks.contains({ToV2.Service, ToV2.Target}));
  auto Resources = Replica.data().resources();
  CHECK(Resources.contains("bad/shop/v2"));
  CHECK_FALSE(Resources.contains("split/shop"));
  CHECK_FALSE(Resources.contains("move/shop"));
}

TEST_CASE("Malformed orders change nothing") {
  // Guards against orders without a zone, with equal versions or without a
  // baseline, and against a replica that stops on an undecodable record.
  CHECK_FALSE(SetZoneInService::create(ZoneName(), false).has_value());
  CHECK_FALSE(
      StartMove::create(ToV2, VersionName("v2"), WallTime()).has_value());
  CHECK_FALSE(StartMove::create(ToV2, VersionName(), WallTime()).has_value());
  TestReplica Replica;
  Replica.Machine.apply(LogIndex(1), "no record");
  Replica.Machine.apply(LogIndex(2), ControlState::encode({{"kind", "zone"}}));
  CHECK(Replica.data().resources().empty());
}
