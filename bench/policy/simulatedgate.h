#ifndef AMARANTHWARD_BENCH_POLICY_SIMULATEDGATE_H
#define AMARANTHWARD_BENCH_POLICY_SIMULATEDGATE_H

#include "eventqueue.h"
#include "libpolicy/admissioncontrol.h"
#include "upstreammodel.h"
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace amaranthward {

enum class GatePolicy {
  Admission,  ///< AdmissionControl
  NoRamp,     ///< all slots from the start
  FixedLimit, ///< four calls at a time, always
  TimedRamp,  ///< grows with the declared warm-up time, without evidence
};

const char *toString(GatePolicy Policy);

struct SimulatedCall {
  CallClass Class = CallClass::Interactive;
  Instant Deadline;
  RouteName Route;
  bool Cancellable = false;
  Duration Work = std::chrono::milliseconds(20);
};

enum class CallEnd { Answered, Failed, Cancelled, Shed, Leaving };

/// One upstream model behind one gate in virtual time.
class SimulatedGate {
public:
  using Done = std::function<void(CallEnd)>;

  SimulatedGate(EventQueue &Events, GatePolicy Policy,
                const AdmissionSettings &Settings,
                const UpstreamModelSettings &Model, RandomFunction Random);

  void submit(const SimulatedCall &Call, Done OnDone);
  void leave();
  /// In service again, with a cold upstream.
  void restore();
  void turnCold();

  std::uint32_t limit();
  std::uint32_t inFlight() const {
    return static_cast<std::uint32_t>(this->Running.size());
  }
  UpstreamModel &model() { return this->Model; }
  AdmissionControl &gate() { return *this->Gate; }
  std::uint64_t started() const { return this->Started; }
  Instant lastStart() const { return this->LastStart; }

private:
  struct Pending {
    SimulatedCall Call;
    Done OnDone;
  };
  void start(std::uint64_t Id);
  void apply(const AdmissionActions &Actions);
  void pump();
  void schedule();
  void baselineSubmit(std::uint64_t Id);
  std::uint32_t baselineLimit() const;
  void baselineStartWaiting();
  void end(std::uint64_t Id, CallEnd How);

  EventQueue &Events;
  GatePolicy Policy;
  AdmissionSettings Settings;
  UpstreamModel Model;
  std::optional<AdmissionControl> Gate;
  std::unordered_map<std::uint64_t, Pending> Calls;
  std::unordered_map<std::uint64_t, bool> Running;
  std::vector<std::uint64_t> Fifo;
  std::uint64_t NextId = 1;
  std::uint64_t Started = 0;
  Instant LastStart;
  Instant RampStart;
  Instant NextHint;
  std::optional<Instant> Scheduled;
  std::uint64_t ScheduleNumber = 0;
  bool Left = false;
};

} // namespace amaranthward

#endif
