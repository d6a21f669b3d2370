#include "gateexperiment.h"

#include <cmath>

namespace amaranthward {

namespace {

struct RouteKind {
  const char *Name;
  CallClass Class;
  double Part;
  Duration Work;
  Duration Timeout;
};

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RouteKind Routes[] = {
    {"urgent", CallClass::Urgent, 0.1, milliseconds(12), milliseconds(500)},
    {"browse", CallClass::Interactive, 0.6, milliseconds(18), seconds(1)},
    {"upload", CallClass::Bulk, 0.3, milliseconds(30), seconds(3)},
};

class GateRun {
public:
  explicit GateRun(const GateExperiment &Experiment)
      : Plan(Experiment), Random(seededRandom(Experiment.Seed)),
        Gate(Events, Experiment.Policy, Experiment.Gate, Experiment.Upstream,
             seededRandom(Experiment.Seed + 1000)) {}

  GateFigures run() {
    this->nextArrival();
    this->observe();
    if (this->Plan.TurnsCold > Duration::zero())
      this->Events.after(this->Plan.TurnsCold, [this] { this->turn(); });
    this->Events.runUntil(Instant(this->Plan.Length));
    std::uint64_t Above = this->Gate.model().startsAboveCapacity();
    if (!this->Turned)
      this->Figures.AboveAtStart = Above;
    else if (this->Figures.DropAfter)
      this->Figures.AboveAfterDrop = Above - this->AboveAtDrop;
    else
      this->Figures.AboveBeforeDrop = Above - this->Figures.AboveAtStart;
    this->Figures.Falls = this->Gate.model().falls();
    this->Figures.LimitAtEnd = this->Gate.limit();
    return this->Figures;
  }

private:
  double uniform() {
    return (static_cast<double>(Random() >> 11) + 0.5) * 0x1p-53;
  }
  double normal() {
    return std::sqrt(-2 * std::log(this->uniform())) *
           std::cos(2 * 3.14159265358979 * this->uniform());
  }

  void nextArrival() {
    double Gap = -std::log(this->uniform()) / this->Plan.CallsPerSecond;
    this->Events.after(Duration(static_cast<Duration::rep>(Gap * 1e6)), [this] {
      this->arrive();
      this->nextArrival();
    });
  }

  void arrive() {
    double Pick = this->uniform();
    const RouteKind *Kind = Routes;
    while (Pick >= Kind->Part) {
      Pick -= Kind->Part;
      if (Kind == &Routes[2])
        break;
      ++Kind;
    }
    double Spread = this->Plan.WorkSpread;
    double Factor = std::exp(Spread * this->normal() - Spread * Spread / 2);
    SimulatedCall Call{Kind->Class, this->Events.now() + Kind->Timeout,
                       RouteName(Kind->Name),
                       this->uniform() < this->Plan.Cancellable,
                       Duration(static_cast<Duration::rep>(
                           static_cast<double>(Kind->Work.count()) * Factor))};
    auto Class = static_cast<std::size_t>(Kind->Class);
    bool Counted = this->Events.now() >= Instant(this->Plan.CountFrom);
    this->Figures.Calls[Class] += Counted ? 1 : 0;
    this->Gate.submit(Call, [this, Class, Counted](CallEnd How) {
      if (!Counted)
        return;
      if (How == CallEnd::Answered)
        ++this->Figures.Answered[Class];
      else if (How == CallEnd::Cancelled)
        ++this->Figures.Cancelled;
      else if (How == CallEnd::Failed)
        ++this->Figures.Failed[Class];
      else
        ++this->Figures.Shed[Class];
    });
    this->check();
  }

  // Watches the limit between arrivals as well.
  void observe() {
    this->check();
    this->Events.after(milliseconds(1), [this] { this->observe(); });
  }

  void check() {
    std::uint32_t Limit = this->Gate.limit();
    Duration Now = this->Events.now() - Instant();
    if (Limit >= this->Plan.Gate.Slots && !this->Figures.FullAfter)
      this->Figures.FullAfter = Now;
    if (!this->Turned && this->Plan.Policy == GatePolicy::Admission) {
      this->Figures.FalseDrops =
          this->Gate.gate().status(this->Events.now()).ColdDetections;
    }
    if (!this->Turned)
      return;
    if (!this->Figures.DropAfter && Limit <= 1) {
      this->Figures.DropAfter = Now - this->Plan.TurnsCold;
      this->AboveAtDrop = this->Gate.model().startsAboveCapacity();
      this->Figures.AboveBeforeDrop =
          this->AboveAtDrop - this->Figures.AboveAtStart;
      this->Figures.StartedBeforeDrop =
          this->Gate.started() - this->StartedAtTurn;
    }
    if (this->Figures.DropAfter && !this->Figures.FullAgainAfter &&
        Limit >= this->Plan.Gate.Slots)
      this->Figures.FullAgainAfter = Now - this->Plan.TurnsCold;
  }

  void turn() {
    this->Gate.turnCold();
    this->Turned = true;
    this->Figures.AboveAtStart = this->Gate.model().startsAboveCapacity();
    this->Figures.InFlightAtTurn = this->Gate.inFlight();
    this->StartedAtTurn = this->Gate.started();
  }

  GateExperiment Plan;
  EventQueue Events;
  RandomFunction Random;
  SimulatedGate Gate;
  GateFigures Figures;
  bool Turned = false;
  std::uint64_t AboveAtDrop = 0;
  std::uint64_t StartedAtTurn = 0;
};

} // namespace

GateFigures run(const GateExperiment &Experiment) {
  return GateRun(Experiment).run();
}

} // namespace amaranthward
