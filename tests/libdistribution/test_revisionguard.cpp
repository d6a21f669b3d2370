#include "libdistribution/revisionguard.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const ClusterId Cluster("c1");
const Instant Start{std::chrono::seconds(50)};
const Instant Settled = Start + std::chrono::seconds(5);
const NodeName A("a");
const NodeName B("b");

RevisionGuard makeGuard(std::vector<NodeName> Witnesses,
                        ClusterId Expected = {}) {
  RevisionGuardOptions Options;
  Options.Witnesses = std::move(Witnesses);
  Options.Expected = std::move(Expected);
  return *RevisionGuard::create(Options, Start);
}

} // namespace

TEST_CASE("A lower revision is never applied") {
  RevisionGuard Guard = makeGuard({});
  REQUIRE(Guard.mayApply(Cluster, Revision(5)).has_value());
  Guard.recordApplied(Cluster, Revision(5));
  CHECK(
      (Guard.mayApply(Cluster, Revision(4)).error().Code == ErrorCode::Stale));
  CHECK(Guard.mayApply(Cluster, Revision(6)).has_value());
}

TEST_CASE("A different cluster id is refused until it is set at a restart") {
  RevisionGuard Guard = makeGuard({});
  Guard.recordApplied(Cluster, Revision(5));
  CHECK((Guard.mayApply(ClusterId("c2"), Revision(9)).error().Code ==
         ErrorCode::Conflict));
  RevisionGuard Restarted = makeGuard({}, ClusterId("c2"));
  CHECK(Restarted.mayApply(ClusterId("c2"), Revision(1)).has_value());
  CHECK_FALSE(Restarted.mayApply(Cluster, Revision(9)).has_value());
}

TEST_CASE("The entry role waits for the confirmed revision") {
  // Guards against serving an old revision from a slow relay after a restart.
  RevisionGuard Guard = makeGuard({A});
  CHECK_FALSE(Guard.mayServe());
  Guard.recordApplied(Cluster, Revision(5));
  CHECK_FALSE(Guard.mayServe());
  CHECK(Guard.waitReason().find(": a") != std::string::npos);
  Guard.recordConfirmed(Cluster, Revision(7));
  CHECK_FALSE(Guard.mayServe());
  Guard.recordApplied(Cluster, Revision(7));
  CHECK(Guard.mayServe());
  CHECK(Guard.waitReason().empty());
}

TEST_CASE("Without a leader the entry role waits for all witnesses") {
  RevisionGuard Guard = makeGuard({A, B});
  Guard.recordApplied(Cluster, Revision(5));
  REQUIRE(Guard.recordWitnessAnswer(A, {Cluster, Revision(5), true}, Settled)
              .has_value());
  CHECK_FALSE(Guard.mayServe());
  CHECK(Guard.missingWitnesses() == std::vector<NodeName>{B});
  REQUIRE(Guard.recordWitnessAnswer(B, {Cluster, Revision(6), true}, Settled)
              .has_value());
  CHECK_FALSE(Guard.mayServe());
  Guard.recordApplied(Cluster, Revision(6));
  CHECK(Guard.mayServe());
}

TEST_CASE("Unsafe, early and unknown witness answers are ignored") {
  // Guards against relying on a witness that has itself restarted, or that
  // answered before revisions in flight could reach it.
  RevisionGuard Guard = makeGuard({A});
  Guard.recordApplied(Cluster, Revision(5));
  REQUIRE(Guard.recordWitnessAnswer(A, {Cluster, Revision(5), false}, Settled)
              .has_value());
  CHECK_FALSE(Guard.mayServe());
  REQUIRE(Guard
              .recordWitnessAnswer(A, {Cluster, Revision(5), true},
                                   Start + std::chrono::seconds(1))
              .has_value());
  CHECK_FALSE(Guard.mayServe());
  CHECK((Guard.recordWitnessAnswer(B, {Cluster, Revision(9), true}, Settled)
             .error()
             .Code == ErrorCode::NotFound));
  CHECK_FALSE(Guard.mayServe());
}

TEST_CASE("A node without witnesses waits for the leader") {
  RevisionGuard Guard = makeGuard({});
  Guard.recordApplied(Cluster, Revision(5));
  CHECK_FALSE(Guard.mayServe());
  CHECK_FALSE(Guard.waitReason().empty());
}

TEST_CASE("The entry role waits when the leader has a different cluster id") {
  RevisionGuard Guard = makeGuard({A});
  Guard.recordApplied(Cluster, Revision(5));
  Guard.recordConfirmed(ClusterId("c2"), Revision(1));
  CHECK_FALSE(Guard.mayServe());
  CHECK(Guard.waitReason().find("c2") != std::string::npos);
}
