#include "libpolicy/movestate.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const VersionName Old("v1");
const VersionName New("v2");
const VersionName Third("v3");

} // namespace

TEST_CASE("A move is unchanged after conversion to JSON and back") {
  // Guards against a new leader that continues a move from a different state
  // than its predecessor stored.
  MoveState State;
  State.Id = "move7";
  State.Service = ServiceName("orders");
  State.Phase = MovePhase::Holding;
  State.Reason = MoveReason::Suspect;
  State.Driver = State.Candidate = New;
  State.Baseline = Old;
  State.From = State.Fallback = {{Old, Share::all()}};
  State.To = {{New, Share::all()}};
  State.InForce = {{Old, Share(2500)}, {New, Share(7500)}};
  State.StartedAt = WallTime(Duration(1700000000000001));
  State.Deadline = State.StartedAt + std::chrono::minutes(2);
  State.LastStepAt = State.HeldSince = State.StartedAt + Duration(5);
  State.Probation = std::chrono::seconds(60);
  State.Evidence = {1234, true, RouteName("search"), FaultKind::Slowness};
  State.Reverted = true;
  CHECK(MoveState::fromJson(MoveState::toJson(State)) == State);
}

TEST_CASE("A record that is no valid move is rejected") {
  // Guards against a corrupt record that puts an invalid split in force.
  CHECK_FALSE(MoveState::fromJson(Json::array()).has_value());
  Json Value = {{"id", "m"}, {"service", "s"}, {"phase", "running"}};
  CHECK_FALSE(MoveState::fromJson(Value).has_value());
  CHECK_FALSE(splitFromJson(Json::parse("{\"v1\":9999}")).has_value());
  CHECK_FALSE(splitFromJson(Json::parse("{\"v1\":-1}")).has_value());
  CHECK_FALSE(
      splitFromJson(Json::parse("{\"v1\":18446744073709551615}")).has_value());
  CHECK(splitFromJson(Json::parse("{\"v1\":4000,\"v2\":6000}")).has_value());
}

TEST_CASE("Every split between start and target adds up to the whole") {
  // Guards against calls that no version is assigned to, here with three
  // versions.
  MoveState State;
  State.Driver = State.Candidate = New;
  State.Baseline = Old;
  State.From = {{Old, Share(6667)}, {Third, Share(3333)}};
  State.To = {{Old, Share(1111)}, {New, Share(7000)}, {Third, Share(1889)}};
  for (std::uint32_t Progress = 0; Progress <= 7000; Progress += 7) {
    Split Shares = State.splitAt(Share(Progress));
    CHECK(checkSplit(Shares).has_value());
    CHECK(shareIn(Shares, New) == Share(Progress));
  }
  CHECK(State.splitAt(Share(7000)) == State.To);
}
