#ifndef AMARANTHWARD_LIBPOLICY_WARMUPRAMP_H
#define AMARANTHWARD_LIBPOLICY_WARMUPRAMP_H

#include "libcore/units.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// One completed call as the ramp sees it.
struct RampSample {
  std::uint32_t Route = 0;
  /// Running calls when it started and when it ended, itself included.
  std::uint32_t InFlight = 1;
  std::uint32_t InFlightAtEnd = 1;
  /// Value of step() when it started.
  std::uint64_t Step = 0;
  bool Failed = false;
  /// Of the latency in microseconds.
  double LogLatency = 0;
  /// Warm expectation; 0 when unknown.
  double LogExpected = 0;
};

/// Limit on concurrent calls of an upstream that may be cold. Starts at one
/// call. Each level is measured under a third of the load and under full load
/// (the limit goes down to a third for a moment when the traffic itself does
/// not give both). The next level follows only when the comparison shows no
/// queueing, and no earlier than the declared warm-up time allows.
class WarmUpRamp {
public:
  WarmUpRamp(std::uint32_t Slots, Duration WarmUp, Instant Now);

  /// Back to one call.
  void restart(Instant Now);
  void add(const RampSample &Sample, Instant Now);

  std::uint32_t limit() const;
  bool isWarm() const { return this->Warm; }
  /// Number of the measurement that calls started now belong to.
  std::uint64_t step() const { return this->StepNumber; }
  std::uint32_t level() const { return this->Level; }
  /// Mean log latency of the last measurement at a full level; 0 when unknown.
  double recent(std::uint32_t Route) const;

private:
  struct Sum {
    double Log = 0;
    double Count = 0;
  };
  /// Measurement at one limit.
  struct Window {
    std::vector<Sum> ByRoute;
    /// Calls of this step; the sums also hold a part of earlier steps at the
    /// same level, so that chance is not tried until it succeeds.
    std::uint32_t Count = 0;
    std::uint32_t Failures = 0;
    double AboveExpected = 0;
    double Expected = 0;
  };

  void put(Window &Into, const RampSample &Sample);
  void beginStep();
  void beginLevel(Instant Now);
  void endStep(Instant Now);
  std::uint32_t fullCalls() const;
  void raise(Instant Now);
  void lower(Instant Now);
  bool paceAllows(Instant Now) const;
  bool latencyAllows() const;
  bool baselineKnown() const;
  bool baselineAllows() const;
  bool trendAllows(Instant Now) const;
  std::uint32_t lowLevel() const { return (this->Level + 2) / 3; }
  /// No improvement over a long time: the upstream is as warm as it gets.
  bool isSettled(Instant Now);

  std::uint32_t Slots;
  Duration WarmUp;
  Instant Start;
  Instant LevelSince;
  bool SettledOnce = false;
  std::uint32_t Level = 1;
  bool AtLow = false;
  /// The limit was lowered in this step.
  bool WasLow = false;
  bool Warm = false;
  std::uint64_t StepNumber = 0;
  Window Low;
  Window Full;
  /// The last complete measurement under full load.
  Window Last;
  /// An earlier measurement at this level.
  Window Earlier;
  Instant EarlierAt;
};

} // namespace amaranthward

#endif
