#include "libpolicy/deadline.h"
#include "libpolicy/retrybudget.h"
#include "libpolicy/retrydecision.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{5s};

RetryBudget budget(const RetryBudgetSettings &Settings = {}) {
  return RetryBudget::create(Settings, Start).value();
}

} // namespace

TEST_CASE("Retries stay within the share of calls") {
  // Guards against retry storms: here every call and every retry fails.
  RetryBudget Budget = budget();
  Instant Now = Start;
  int Retries = 0;
  for (int Calls = 1; Calls <= 50000; ++Calls) {
    Now += 1ms;
    Budget.recordCall(Now);
    while (Budget.trySpend(Now))
      ++Retries;
    CHECK(Retries <= std::max(2, Calls / 10));
  }
  CHECK(Retries >= 4990);
}

TEST_CASE("Retries stay within the share also for rare calls") {
  // Guards against advance tokens that are granted after each idle time and
  // never repaid.
  RetryBudgetSettings Settings;
  RetryBudget Budget = budget(Settings);
  Instant Now = Start;
  int Retries = 0;
  for (int Calls = 1; Calls <= 5000; ++Calls) {
    Now += 7s;
    Budget.recordCall(Now);
    while (Budget.trySpend(Now))
      ++Retries;
    CHECK(Retries <= Calls / 10 + static_cast<int>(Settings.Largest));
  }
}

TEST_CASE("A rare call can be retried") {
  // Guards against a budget that is empty until many calls have been made.
  RetryBudget Budget = budget();
  Budget.recordCall(Start);
  CHECK(Budget.trySpend(Start));
  CHECK(Budget.trySpend(Start));
  CHECK(!Budget.trySpend(Start));
  CHECK(Budget.trySpend(Start + 11s));
}

TEST_CASE("Saved tokens are limited") {
  // Guards against a burst of retries after a long time without failures.
  RetryBudget Budget = budget();
  for (int I = 0; I < 100000; ++I)
    Budget.recordCall(Start);
  int Retries = 0;
  while (Budget.trySpend(Start))
    ++Retries;
  CHECK(Retries == 20);
}

TEST_CASE("A non-idempotent call is retried only when it did not run") {
  // Guards against a non-idempotent request that is executed twice, over all
  // combinations of the other inputs.
  for (auto Outcome : {AttemptOutcome::Answered, AttemptOutcome::Failed,
                       AttemptOutcome::NotRun, AttemptOutcome::Unknown})
    for (int Bits = 0; Bits < 32; ++Bits)
      for (std::uint32_t Attempts = 1; Attempts <= 4; ++Attempts) {
        RetryInputs Inputs;
        Inputs.Outcome = Outcome;
        Inputs.UnprovenVersion = Bits & 1;
        Inputs.BaselineTried = Bits & 2;
        Inputs.BodyBuffered = Bits & 4;
        Inputs.Leaving = Bits & 8;
        Inputs.BudgetLeft = Bits & 16;
        Inputs.Attempts = Attempts;
        Inputs.TimeLeft = 1s;
        Inputs.Idempotent = false;
        RetryDecision Decision = decideRetry(Inputs);
        if (Outcome != AttemptOutcome::NotRun)
          CHECK(Decision.Action == RetryAction::Stop);
        CHECK((Decision.Action == RetryAction::Stop) ==
              (Decision.Reason != StopReason::None));
        Inputs.Idempotent = true;
        Decision = decideRetry(Inputs);
        if (Outcome == AttemptOutcome::Answered)
          CHECK(Decision.Action == RetryAction::Stop);
        if (Decision.Action == RetryAction::Retry) {
          CHECK(Inputs.BudgetLeft);
          CHECK(Attempts < DefaultMaxAttempts);
        }
        if (Decision.Action != RetryAction::Stop)
          CHECK(Inputs.BodyBuffered);
      }
}

TEST_CASE("A failure on an unproven version is retried on the baseline once") {
  // Guards against callers that see the failures of an unproven version.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::Failed;
  Inputs.Idempotent = true;
  Inputs.UnprovenVersion = true;
  Inputs.TimeLeft = 1s;
  Inputs.BudgetLeft = false;
  CHECK(decideRetry(Inputs).Action == RetryAction::RetryOnBaseline);
  Inputs.BaselineTried = true;
  CHECK(decideRetry(Inputs).Reason == StopReason::BudgetSpent);
  Inputs.BaselineTried = false;
  Inputs.Outcome = AttemptOutcome::Unknown;
  CHECK(decideRetry(Inputs).Action == RetryAction::RetryOnBaseline);
  Inputs.Idempotent = false;
  CHECK(decideRetry(Inputs).Reason == StopReason::MayHaveRun);
}

TEST_CASE(
    "With mesh-wide retry limits the attempt on the baseline takes a token") {
  // Guards against retries beyond the limit late in a move, when most calls go
  // to the unproven version.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::Failed;
  Inputs.Idempotent = true;
  Inputs.UnprovenVersion = true;
  Inputs.BaselineInBudget = true;
  Inputs.TimeLeft = 1s;
  Inputs.BudgetLeft = false;
  CHECK(decideRetry(Inputs).Reason == StopReason::BudgetSpent);
  Inputs.BudgetLeft = true;
  CHECK(decideRetry(Inputs).Action == RetryAction::RetryOnBaseline);
}

TEST_CASE(
    "A call refused by a gate is sent to another upstream without a token") {
  // Guards against calls that fail while other upstreams are idle, and against
  // a call that tries every gate of a large fleet.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::NotRun;
  Inputs.RefusedByGate = true;
  Inputs.TimeLeft = 1s;
  Inputs.BudgetLeft = false;
  Inputs.GateRefusals = MaxGateRefusals - 1;
  CHECK(decideRetry(Inputs).Action == RetryAction::RetryElsewhere);
  Inputs.GateRefusals = MaxGateRefusals;
  CHECK(decideRetry(Inputs).Action == RetryAction::Stop);
}

TEST_CASE("Without time left there is no retry") {
  // Guards against retries that only add load because they cannot finish.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::NotRun;
  Inputs.BudgetLeft = true;
  Inputs.TimeLeft = MinRetryTime - 1us;
  CHECK(decideRetry(Inputs).Reason == StopReason::NoTimeLeft);
  Inputs.TimeLeft = MinRetryTime;
  CHECK(decideRetry(Inputs).Action == RetryAction::Retry);
}

TEST_CASE("Deadlines get earlier along a chain of 21 calls and stay usable") {
  // Guards against a callee that still works after its caller has timed out,
  // and against hop allowances or rounding that use up a short deadline.
  for (Duration Timeout : {Duration(100ms), Duration(1s), Duration(5s)}) {
    Instant Now = Start;
    Deadline Caller = Deadline::derive(Now, Timeout);
    Deadline First = Caller;
    for (int Hop = 0; Hop < 42; ++Hop) {
      Deadline Next = Caller.forNextHop(Now);
      CHECK(Next < Caller);
      auto Received = Deadline::parseHeader(Next.toHeader(Now));
      REQUIRE(Received);
      Deadline Callee = Deadline::derive(Now, 1h, *Received);
      CHECK(!(Next < Callee));
      Caller = Callee;
      Now += 100us;
    }
    CHECK(Caller.left(Start) >= First.left(Start) * 7 / 10);
  }
}

TEST_CASE("An expired deadline stays expired at the next hop") {
  // Guards against a negative time left that becomes a valid deadline.
  Deadline Old(Start);
  CHECK(Old.expired(Start));
  CHECK(Old.left(Start + 1s) == 0us);
  CHECK(Old.forNextHop(Start + 1s).expired(Start + 1s));
  CHECK(Deadline::derive(Start, 5s, -3s).expired(Start));
}

TEST_CASE("A malformed deadline header is rejected") {
  // Guards against signs, exponents, blanks and partial numbers that are
  // accepted.
  CHECK(*Deadline::parseHeader("250") == 250ms);
  CHECK(*Deadline::parseHeader("0") == 0ms);
  CHECK(*Deadline::parseHeader("1.5") == 1500us);
  CHECK(*Deadline::parseHeader("1.005") == 1005us);
  CHECK(*Deadline::parseHeader("99999999999999999999999") == 24h);
  for (const char *Bad : {"", "-1", "+1", "1e3", "1.", ".5", "1.0001", " 1",
                          "1 ", "abc", "1.2.3", "0x10"})
    CHECK_MESSAGE(!Deadline::parseHeader(Bad), Bad);
}

TEST_CASE(
    "A call is not sent again when it cannot finish before its deadline") {
  // Guards against three more attempts at other gates 8 ms before the deadline.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::NotRun;
  Inputs.RefusedByGate = true;
  Inputs.TimeLeft = 8ms;
  CHECK((decideRetry(Inputs).Action == RetryAction::RetryElsewhere));
  Inputs.MinAttemptTime = 40ms;
  CHECK((decideRetry(Inputs).Action == RetryAction::Stop));
  CHECK((decideRetry(Inputs).Reason == StopReason::NoTimeLeft));
}

TEST_CASE("A call is not sent again when every upstream has been tried") {
  // Guards against repeated attempts at gates that are full.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::NotRun;
  Inputs.RefusedByGate = true;
  Inputs.TimeLeft = 1s;
  CHECK((decideRetry(Inputs).Action == RetryAction::RetryElsewhere));
  Inputs.HasUntriedUpstream = false;
  CHECK((decideRetry(Inputs).Reason == StopReason::NoUntriedUpstream));
}

TEST_CASE("The number of attempts at leaving upstreams is limited") {
  // Guards against endless attempts at a single upstream whose zone is out of
  // service: one call was sent 98,854 times in the 5 s until its deadline.
  RetryInputs Inputs;
  Inputs.Outcome = AttemptOutcome::NotRun;
  Inputs.Leaving = true;
  Inputs.RefusedByGate = true;
  Inputs.TimeLeft = 1s;
  Inputs.GateRefusals = MaxLeavingRefusals - 1;
  CHECK((decideRetry(Inputs).Action == RetryAction::RetryElsewhere));
  Inputs.GateRefusals = MaxLeavingRefusals;
  CHECK((decideRetry(Inputs).Action == RetryAction::Stop));
}
