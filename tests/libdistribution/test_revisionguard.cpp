#include "libdistribution/revisionguard.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const ClusterId Cluster("c1");
const Instant Start{std::chrono::seconds(50)};
const Instant Settled = Start + std::chrono::seconds(5);
const NodeName A("a");
const NodeName B("b");

RevisionGuard makeGate(std::vector<NodeName> Witnesses,
                       ClusterId Expected = {}) {
  RevisionGuardOptions Options;
  Options.Witnesses = std::move(Witnesses);
  Options.Expected = std::move(Expected);
  return *RevisionGuard::create(Options, Start);
}

} // namespace

TEST_CASE("A lower revision is never applied") {
  RevisionGuard Gate = makeGate({});
  REQUIRE(Gate.mayApply(Cluster, Revision(5)).has_value());
  Gate.applied(Cluster, Revision(5));
  CHECK((Gate.mayApply(Cluster, Revision(4)).error().Code == ErrorCode::Stale));
  CHECK(Gate.mayApply(Cluster, Revision(6)).has_value());
}

TEST_CASE("Another cluster id is refused until a restart names it") {
  RevisionGuard Gate = makeGate({});
  Gate.applied(Cluster, Revision(5));
  CHECK((Gate.mayApply(ClusterId("c2"), Revision(9)).error().Code ==
         ErrorCode::Conflict));
  RevisionGuard Restarted = makeGate({}, ClusterId("c2"));
  CHECK(Restarted.mayApply(ClusterId("c2"), Revision(1)).has_value());
  CHECK_FALSE(Restarted.mayApply(Cluster, Revision(9)).has_value());
}

TEST_CASE("The entry role waits for the confirmed revision") {
  // Guards against serving what a slow relay still has after a restart.
  RevisionGuard Gate = makeGate({A});
  CHECK_FALSE(Gate.mayServe());
  Gate.applied(Cluster, Revision(5));
  CHECK_FALSE(Gate.mayServe());
  CHECK(Gate.waitReason().find(": a") != std::string::npos);
  Gate.confirmed(Cluster, Revision(7));
  CHECK_FALSE(Gate.mayServe());
  Gate.applied(Cluster, Revision(7));
  CHECK(Gate.mayServe());
  CHECK(Gate.waitReason().empty());
}

TEST_CASE("In a source outage all witnesses must answer") {
  RevisionGuard Gate = makeGate({A, B});
  Gate.applied(Cluster, Revision(5));
  REQUIRE(Gate.witnessed(A, {Cluster, Revision(5), true}, Settled).has_value());
  CHECK_FALSE(Gate.mayServe());
  CHECK(Gate.missingWitnesses() == std::vector<NodeName>{B});
  REQUIRE(Gate.witnessed(B, {Cluster, Revision(6), true}, Settled).has_value());
  CHECK_FALSE(Gate.mayServe());
  Gate.applied(Cluster, Revision(6));
  CHECK(Gate.mayServe());
}

TEST_CASE("Answers that prove nothing do not count") {
  // Guards against a witness that restarted itself, or that answered before
  // revisions under way could arrive.
  RevisionGuard Gate = makeGate({A});
  Gate.applied(Cluster, Revision(5));
  REQUIRE(
      Gate.witnessed(A, {Cluster, Revision(5), false}, Settled).has_value());
  CHECK_FALSE(Gate.mayServe());
  REQUIRE(Gate.witnessed(A, {Cluster, Revision(5), true},
                         Start + std::chrono::seconds(1))
              .has_value());
  CHECK_FALSE(Gate.mayServe());
  CHECK(
      (Gate.witnessed(B, {Cluster, Revision(9), true}, Settled).error().Code ==
       ErrorCode::NotFound));
  CHECK_FALSE(Gate.mayServe());
}

TEST_CASE("A node without witnesses waits for the leader") {
  RevisionGuard Gate = makeGate({});
  Gate.applied(Cluster, Revision(5));
  CHECK_FALSE(Gate.mayServe());
  CHECK_FALSE(Gate.waitReason().empty());
}

TEST_CASE(
    "Different cluster ids at leader and in force keep the entry waiting") {
  RevisionGuard Gate = makeGate({A});
  Gate.applied(Cluster, Revision(5));
  Gate.confirmed(ClusterId("c2"), Revision(1));
  CHECK_FALSE(Gate.mayServe());
  CHECK(Gate.waitReason().find("c2") != std::string::npos);
}
