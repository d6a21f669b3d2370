#ifndef AMARANTHWARD_LIBPOLICY_WARMUPRAMP_H
#define AMARANTHWARD_LIBPOLICY_WARMUPRAMP_H

#include "libcore/units.h"
#include <cstdint>
#include <vector>

namespace amaranthward {

/// Measurement of one completed call.
struct RampSample {
  std::uint32_t Route = 0;
  /// Running calls when the call started and when it ended, itself included.
  std::uint32_t InFlight = 1;
  std::uint32_t InFlightAtEnd = 1;
  /// Value of WarmUpRamp::step() when the call started.
  std::uint64_t Step = 0;
  bool Failed = false;
  /// Logarithm of the latency in microseconds.
  double LogLatency = 0;
  /// The same of the latency expected from the warm upstream; 0 when unknown.
  double LogExpected = 0;
};

/// Limit on concurrent calls of an upstream that may be cold. The level starts
/// at one call and rises by one call at a time up to the slots. At each level
/// the latency is measured at a third of the level (low load) and at the full
/// level; when the traffic does not provide the low load, the limit is lowered
/// to a third for a moment. The level rises only when the comparison shows no
/// queueing, and no earlier than the declared warm-up time allows.
///
/// A step is one measurement at a level; a level may take several steps.
class WarmUpRamp {
public:
  WarmUpRamp(std::uint32_t Slots, Duration WarmUp, Instant Now);

  /// Sets the level back to one call.
  void restart(Instant Now);
  /// Adds a completed call, which may change the limit. No effect once warm.
  void add(const RampSample &Sample, Instant Now);

  /// Maximum number of running calls: the level, or a third of it during the
  /// low-load measurement.
  std::uint32_t limit() const;
  /// Whether the ramp has passed the level of all slots, so it limits no more.
  bool isWarm() const { return this->Warm; }
  /// Number of the current step, to be stored with each call that starts.
  std::uint64_t step() const { return this->StepNumber; }
  std::uint32_t level() const { return this->Level; }
  /// Mean log latency of the route in the last complete measurement at full
  /// load; 0 when unknown.
  double recentLogLatency(std::uint32_t Route) const;

private:
  /// Sum and number of the log latencies of a route.
  struct Sum {
    double Log = 0;
    double Count = 0;
  };
  /// Measurements at low or at full load.
  struct Window {
    std::vector<Sum> ByRoute;
    /// Calls of this step. The sums also contain a fraction of earlier steps at
    /// the same level: with independent steps, repeated attempts would pass by
    /// chance.
    std::uint32_t Count = 0;
    std::uint32_t Failures = 0;
    /// Sum of log(latency / warm expectation), over \a Expected calls.
    double AboveExpected = 0;
    double Expected = 0;
  };

  void addToWindow(Window &Target, const RampSample &Sample);
  void beginStep();
  /// Discards the measurements and begins the first step of a level.
  void beginLevel(Instant Now);
  /// Evaluates a complete measurement: raises the level or begins another step.
  void endStep(Instant Now);
  /// Number of calls in a complete measurement at full load.
  std::uint32_t fullWindowCalls() const;
  /// Next level, or warm at the last one.
  void raiseLevel(Instant Now);
  /// Half of the level, after failures.
  void lowerLevel(Instant Now);
  /// Whether the declared warm-up time permits the next level.
  bool paceAllows(Instant Now) const;
  /// Whether latency grows with load no more than without queueing.
  bool latencyAllows() const;
  /// Whether enough calls can be compared with the warm baseline.
  bool baselineKnown() const;
  /// Whether the comparison with the warm baseline permits the next level.
  bool baselineAllows() const;
  /// Whether the upstream is within its declared time or no longer improves.
  bool trendAllows(Instant Now) const;
  std::uint32_t lowLevel() const { return (this->Level + 2) / 3; }
  /// Whether the latency at this level no longer improves, so that the upstream
  /// has finished warming up.
  bool isSettled(Instant Now);

  std::uint32_t Slots;
  Duration WarmUp;
  /// Time of the last restart.
  Instant Start;
  Instant LevelSince;
  /// isSettled() held since the restart, after the declared warm-up time.
  bool HasSettled = false;
  std::uint32_t Level = 1;
  /// The limit is lowered at present for the low-load measurement.
  bool MeasuringLow = false;
  /// The limit was lowered at some time in this step.
  bool MeasuredLow = false;
  bool Warm = false;
  std::uint64_t StepNumber = 0;
  /// Measurements at this level under low and under full load.
  Window Low;
  Window Full;
  /// The last complete measurement under full load.
  Window LastFull;
  /// An earlier full-load measurement at this level, and when it was taken, for
  /// isSettled().
  Window Earlier;
  Instant EarlierAt;
};

} // namespace amaranthward

#endif
