#include "libconsensus/testcluster.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

TEST_CASE("Three empty replicas form a cluster, elect and commit") {
  // Guards against a formation that does not complete.
  TestCluster Bus(1);
  Bus.startAll();
  REQUIRE(Bus.waitForLeader());
  CHECK(Bus.commit("first"));
  CHECK(Bus.runUntil([&] { return Bus.allHold("first"); }));
  CHECK(Bus.violations().empty());
  CHECK_FALSE(Bus.leader()->clusterId().empty());
  CHECK(Bus.leader()->voters().size() == 3);
}
