#include "libpolicy/localsharelimiter.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const RouteName Route("search");

/// Feeds \a Steps of 100 baseline and 20 candidate calls.
void feed(LocalShareLimiter &Reflex, std::map<RouteName, RouteTotals> &Own,
          Instant &Now, int Steps, bool Failing) {
  for (int Step = 0; Step < Steps; ++Step) {
    RouteTotals &Totals = Own[Route];
    for (int Call = 0; Call < 100; ++Call)
      Totals.Baseline.count(false, std::chrono::milliseconds(6));
    for (int Call = 0; Call < 20; ++Call)
      Totals.Candidate.count(Failing, std::chrono::milliseconds(6));
    Now += std::chrono::milliseconds(100);
    Reflex.step(Now, Own);
  }
}

} // namespace

TEST_CASE("A node lowers the share on its own and the leader releases it") {
  // Guards against a node that is cut off and keeps calling a bad version, and
  // against a reduction that outlives the leader's decision.
  auto Reflex = *LocalShareLimiter::create({Route});
  std::map<RouteName, RouteTotals> Own;
  Instant Now;
  Reflex.follow(Revision(4), Share(2000));
  feed(Reflex, Own, Now, 20, false);
  CHECK(Reflex.share() == Share(2000));
  feed(Reflex, Own, Now, 5, true);
  CHECK(Reflex.share() == Share::none());
  CHECK(Reflex.rejects());
  Reflex.follow(Revision(4), Share(9000));
  Reflex.follow(Revision(3), Share(9000));
  CHECK(Reflex.share() == Share::none());
  Reflex.follow(Revision(5), Share(1000));
  CHECK(Reflex.share() == Share(1000));
  CHECK_FALSE(Reflex.isReduced());
  feed(Reflex, Own, Now, 5, true);
  CHECK(Reflex.share() == Share::none());
}

TEST_CASE("A node never raises the leader's share") {
  // Guards against a node that moves ahead of the leader.
  auto Reflex = *LocalShareLimiter::create({Route});
  std::map<RouteName, RouteTotals> Own;
  Instant Now;
  CHECK(Reflex.share() == Share::none());
  Reflex.follow(Revision(1), Share(300));
  for (int Round = 0; Round < 20; ++Round) {
    feed(Reflex, Own, Now, 5, Round % 7 == 6);
    CHECK(Reflex.share() <= Share(300));
  }
}
