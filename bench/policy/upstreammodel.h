#ifndef AMARANTHWARD_BENCH_POLICY_UPSTREAMMODEL_H
#define AMARANTHWARD_BENCH_POLICY_UPSTREAMMODEL_H

#include "libcore/units.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace amaranthward {

enum class LoadReport { Honest, Lagging, AlwaysLow, AlwaysFull };

struct UpstreamModelSettings {
  double Slots = 9;
  std::uint32_t Connections = 130;
  /// Concurrent calls that the cold upstream can bear.
  double ColdCapacity = 2;
  /// Latency of a lone call when cold, as a multiple of warm.
  double ColdSlowdown = 2.5;
  /// Latency at full load is 1 + LoadGrowth times that of a lone call.
  double LoadGrowth = 0.7;
  /// Half of the warmth comes with this time, half with that many calls.
  Duration WarmTime = std::chrono::seconds(10);
  double WarmCalls = 500;
  /// Part of the calls that fail for reasons of their own.
  double FailureRate = 0;
  bool StartsWarm = false;
  LoadReport Report = LoadReport::Honest;
};

/// Stand-in of an upstream in virtual time. Running calls share its speed.
/// Above its capacity calls slow down with the square of the excess and some
/// fail; after a lasting excess it falls over: all calls fail, it stays down
/// for a time and is then cold.
class UpstreamModel {
public:
  struct Finished {
    std::uint64_t Call = 0;
    bool Failed = false;
    Instant At;
  };

  UpstreamModel(const UpstreamModelSettings &Settings, RandomFunction Random);

  /// \a Work is the time that a lone call takes on the warm upstream.
  void start(std::uint64_t Call, Duration Work, Instant Now);
  void cancel(std::uint64_t Call, Instant Now);
  /// Runs up to \a Now and returns the calls that ended.
  std::vector<Finished> advance(Instant Now);
  /// When advance() is due; none when idle.
  std::optional<Instant> nextEvent() const;

  void turnCold(Instant Now);

  double capacity() const;
  double warmth() const { return this->Warmth; }
  std::size_t running() const { return this->Calls.size(); }
  bool isDown(Instant Now) const { return Now < this->DownUntil; }
  double reportedLoad(Instant Now);

  /// Calls that started while more than the cold upstream can bear ran.
  std::uint64_t startsAboveCapacity() const { return this->Above; }
  std::uint64_t falls() const { return this->Falls; }
  std::uint64_t failures() const { return this->Failures; }

private:
  struct Call {
    /// Value of Progress at which it ends.
    double End = 0;
    bool Fails = false;
  };
  double load() const;
  /// Work done per microsecond for each call.
  double speed() const;
  void run(Instant Until);
  void fall(Instant Now);
  double uniform();

  UpstreamModelSettings Settings;
  RandomFunction Random;
  std::map<std::uint64_t, Call> Calls;
  std::vector<Finished> Ended;
  Instant Time;
  double Progress = 0;
  double Warmth = 0;
  /// Seconds times excess load.
  double Stress = 0;
  Instant DownUntil;
  std::uint64_t Above = 0;
  std::uint64_t Falls = 0;
  std::uint64_t Failures = 0;
  double Reported = 0;
  Instant ReportedAt;
};

} // namespace amaranthward

#endif
