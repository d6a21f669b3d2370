#include "libpolicy/exposurebudget.h"

#include <algorithm>

namespace amaranthward {
namespace {

double secondsBetween(WallTime From, WallTime Until) {
  return std::max(0.0, std::chrono::duration<double>(Until - From).count());
}

/// Calls of the service from the start of the move to its deadline.
double expectedCalls(const MoveState &State, const MoveInputs &In) {
  auto SoFar = static_cast<double>(In.AllCalls);
  double Elapsed = secondsBetween(State.StartedAt, In.Now);
  double Rate = Elapsed > 0 ? SoFar / Elapsed : In.CallsPerSecond;
  // A burst that is over by the deadline must not raise the limit. A new leader
  // does not know the present rate yet.
  if (In.CallsPerSecond > 0)
    Rate = std::min(Rate, In.CallsPerSecond);
  return SoFar + Rate * secondsBetween(In.Now, State.Deadline);
}

} // namespace

ExposureBudget ExposureBudget::create(const MoveState &State,
                                      const MoveInputs &In,
                                      const ExposureLimit &Limit) {
  double Expected = expectedCalls(State, In);
  double Allowed = Expected > 0 ? Limit.Part.fraction() * Expected +
                                      static_cast<double>(Limit.Calls)
                                : 0;
  std::uint64_t Known =
      std::max(In.Verdict.CandidateCalls, State.Evidence.Calls);
  double Settled = shareIn(State.Fallback, State.Candidate).fraction() *
                   static_cast<double>(In.AllCalls);
  return {Allowed, std::max(0.0, static_cast<double>(Known) - Settled)};
}

} // namespace amaranthward
