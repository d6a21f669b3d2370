#include "libpolicy/localsharelimiter.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const RouteName Route("search");

/// Makes \a Steps steps, each with 100 successful baseline calls and 20
/// candidate calls, which fail when \a Failing is set.
void stepWithCalls(LocalShareLimiter &Limiter,
                   std::map<RouteName, RouteTotals> &OwnTotals, Instant &Now,
                   int Steps, bool Failing) {
  for (int Step = 0; Step < Steps; ++Step) {
    RouteTotals &Totals = OwnTotals[Route];
    for (int Call = 0; Call < 100; ++Call)
      Totals.Baseline.count(false, std::chrono::milliseconds(6));
    for (int Call = 0; Call < 20; ++Call)
      Totals.Candidate.count(Failing, std::chrono::milliseconds(6));
    Now += std::chrono::milliseconds(100);
    Limiter.step(Now, OwnTotals);
  }
}

} // namespace

TEST_CASE(
    "A node lowers the share of a bad version until a new decision of the "
    "leader") {
  // Guards against a node that keeps calling a bad version while it cannot
  // reach the leader, and against a reduction that outlasts the leader's next
  // decision.
  auto Limiter = *LocalShareLimiter::create({Route});
  std::map<RouteName, RouteTotals> OwnTotals;
  Instant Now;
  Limiter.follow(Revision(4), Share(2000));
  stepWithCalls(Limiter, OwnTotals, Now, 20, false);
  CHECK(Limiter.share() == Share(2000));
  stepWithCalls(Limiter, OwnTotals, Now, 5, true);
  CHECK(Limiter.share() == Share::none());
  CHECK(Limiter.rejects());
  Limiter.follow(Revision(4), Share(9000));
  Limiter.follow(Revision(3), Share(9000));
  CHECK(Limiter.share() == Share::none());
  Limiter.follow(Revision(5), Share(1000));
  CHECK(Limiter.share() == Share(1000));
  CHECK_FALSE(Limiter.isReduced());
  stepWithCalls(Limiter, OwnTotals, Now, 5, true);
  CHECK(Limiter.share() == Share::none());
}

TEST_CASE("A node never raises the leader's share") {
  // Guards against a node that gives an unproven version a larger share than
  // the leader decided.
  auto Limiter = *LocalShareLimiter::create({Route});
  std::map<RouteName, RouteTotals> OwnTotals;
  Instant Now;
  CHECK(Limiter.share() == Share::none());
  Limiter.follow(Revision(1), Share(300));
  for (int Round = 0; Round < 20; ++Round) {
    stepWithCalls(Limiter, OwnTotals, Now, 5, Round % 7 == 6);
    CHECK(Limiter.share() <= Share(300));
  }
}
