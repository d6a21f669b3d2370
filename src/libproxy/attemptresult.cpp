#include "libproxy/attemptresult.h"
#include <algorithm>
#include <array>

namespace amaranthward {

bool isLeaving(const std::string &Reason) {
  static constexpr std::array<std::string_view, 8> All = {
      "leaving",        "zone-out",    "version-out",       "other-version",
      "gate-restarted", "no-upstream", "upstream-replaced", "stopped"};
  return std::find(All.begin(), All.end(), Reason) != All.end();
}

bool isFull(const std::string &Reason) {
  static constexpr std::array<std::string_view, 5> All = {
      "deadline-too-short", "queue-full", "overloaded", "displaced", "cold"};
  return std::find(All.begin(), All.end(), Reason) != All.end();
}

bool isRefusedByGate(const AttemptFailure &Failure) {
  return Failure.KnownOutcome == Outcome::NotRun &&
         Failure.Reason != reason::UpstreamRefused &&
         Failure.Reason != reason::UpstreamReplaced;
}

AttemptResult resultOf(const AttemptFailure &Failure) {
  if (Failure.GateUnreachable)
    return AttemptResult::ConnectFailed;
  if (Failure.KnownOutcome == Outcome::NotRun) {
    if (Failure.Reason == "upstream-unreachable")
      return AttemptResult::ConnectFailed;
    return isLeaving(Failure.Reason) ? AttemptResult::Leaving
                                     : AttemptResult::Shed;
  }
  return Failure.Reason == "deadline" ? AttemptResult::Timeout
                                      : AttemptResult::Failure;
}

} // namespace amaranthward
