#ifndef AMARANTHWARD_BENCH_POLICY_GATEEXPERIMENT_H
#define AMARANTHWARD_BENCH_POLICY_GATEEXPERIMENT_H

#include "simulatedgate.h"
#include <array>

namespace amaranthward {

/// Calls at one gate, from a cold start on.
struct GateExperiment {
  GatePolicy Policy = GatePolicy::Admission;
  UpstreamModelSettings Upstream;
  AdmissionSettings Gate;
  double CallsPerSecond = 350;
  Duration Length = std::chrono::seconds(30);
  /// Calls that arrive earlier are not counted.
  Duration CountFrom = Duration::zero();
  /// When the warm upstream turns cold again; none when zero.
  Duration TurnsCold = Duration::zero();
  /// Part of the calls that the gate may cancel.
  double Cancellable = 0;
  /// Spread of the work of calls (standard deviation of its logarithm).
  double WorkSpread = 0.4;
  std::uint64_t Seed = 1;
};

struct GateFigures {
  std::array<std::uint64_t, 3> Calls{};
  std::array<std::uint64_t, 3> Answered{};
  std::array<std::uint64_t, 3> Failed{};
  std::array<std::uint64_t, 3> Shed{};
  std::uint64_t Cancelled = 0;
  /// Starts above what the cold upstream can bear: before it turned cold
  /// again, and from then until the limit dropped, and after that.
  std::uint64_t AboveAtStart = 0;
  std::uint64_t AboveBeforeDrop = 0;
  std::uint64_t AboveAfterDrop = 0;
  std::uint64_t Falls = 0;
  /// First time at full limit; none when never.
  std::optional<Duration> FullAfter;
  /// Limit found cold again although the upstream was warm.
  std::uint64_t FalseDrops = 0;
  std::uint32_t InFlightAtTurn = 0;
  std::uint64_t StartedBeforeDrop = 0;
  std::optional<Duration> DropAfter;
  /// From the turn to the full limit again.
  std::optional<Duration> FullAgainAfter;
  std::uint32_t LimitAtEnd = 0;
};

GateFigures run(const GateExperiment &Experiment);

} // namespace amaranthward

#endif
