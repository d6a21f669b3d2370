#include "meshexperiment.h"

#include "meshentry.h"
#include <algorithm>
#include <cmath>

namespace amaranthward {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration GraceAfterLeaving = seconds(2);
constexpr double IdempotentPart = 0.8;

ZoneName zoneOf(std::size_t Index) {
  return ZoneName("zone-" + std::to_string(Index));
}

class MeshRun {
public:
  explicit MeshRun(const MeshExperiment &Experiment)
      : Plan(Experiment), Random(seededRandom(Experiment.Seed)) {}

  MeshFigures run() {
    this->build();
    this->nextArrival();
    this->schedule();
    this->Events.runUntil(Instant(this->Plan.Length));
    std::uint64_t Above = this->above();
    if (this->Plan.Returns > Duration::zero())
      this->Figures.AboveAfterReturn = Above - this->Figures.AboveAtStart;
    else
      this->Figures.AboveAtStart = Above;
    for (MeshUpstream &One : this->Upstreams)
      this->Figures.Falls += One.Gate->model().falls();
    if (!this->Latencies.empty()) {
      auto Place = this->Latencies.begin() +
                   static_cast<std::ptrdiff_t>(this->Latencies.size() * 0.99);
      std::nth_element(this->Latencies.begin(), Place, this->Latencies.end());
      this->Figures.P99Millis = *Place;
    }
    if (this->Figures.Attempts > 0)
      this->Figures.OwnZone = static_cast<double>(this->Local) /
                              static_cast<double>(this->Figures.Attempts);
    return this->Figures;
  }

private:
  double uniform() {
    return (static_cast<double>(Random() >> 11) + 0.5) * 0x1p-53;
  }

  void build() {
    for (std::size_t Zone = 0; Zone < this->Plan.Upstreams.size(); ++Zone)
      for (std::uint32_t I = 0; I < this->Plan.Upstreams[Zone]; ++I) {
        MeshUpstream One;
        One.Candidate.Node = NodeName(std::to_string(this->Upstreams.size()));
        One.Candidate.Start = Incarnation(1);
        One.Candidate.Zone = zoneOf(Zone);
        One.Candidate.Region = RegionName("region");
        One.Candidate.Slots = this->Plan.Limits.Slots;
        One.Gate = std::make_unique<SimulatedGate>(
            this->Events, this->Plan.Gate, this->Plan.Limits,
            this->Plan.Upstream, seededRandom(this->Random()));
        this->Upstreams.push_back(std::move(One));
      }
    MeshHooks Hooks;
    Hooks.OnAttempt = [this](bool OwnZone) {
      if (!this->counts())
        return;
      ++this->Figures.Attempts;
      this->Local += OwnZone ? 1 : 0;
    };
    Hooks.OnArrival = [this](MeshUpstream &) { this->checkZone(); };
    for (std::uint32_t I = 0; I < this->Plan.Entries; ++I)
      this->Entries.push_back(std::make_unique<MeshEntry>(
          this->Events, this->Plan, zoneOf(I % this->Plan.Upstreams.size()),
          this->Upstreams, Hooks, seededRandom(this->Random())));
  }

  bool counts() const {
    return this->Events.now() >= Instant(this->Plan.WarmAfter);
  }

  std::uint64_t above() {
    std::uint64_t Sum = 0;
    for (MeshUpstream &One : this->Upstreams)
      Sum += One.Gate->model().startsAboveCapacity();
    return Sum;
  }

  // Also sees calls that start from a gate's queue, at the next arrival.
  void checkZone() {
    if (this->Plan.Leaves == Duration::zero())
      return;
    Instant Out = Instant(this->Plan.Leaves + GraceAfterLeaving);
    Instant Back = Instant(this->Plan.Returns);
    if (this->Events.now() <= Out || this->Events.now() >= Back)
      return;
    std::uint64_t Started = 0;
    for (MeshUpstream &One : this->Upstreams)
      if (One.Candidate.Zone == zoneOf(0))
        Started += One.Gate->started();
    if (!this->StartedAtGrace)
      this->StartedAtGrace = Started;
    this->Figures.NewWorkWhileOut = Started - *this->StartedAtGrace;
  }

  Duration someDelay() {
    return Duration(static_cast<Duration::rep>(
        this->uniform() * static_cast<double>(this->Plan.Propagation.count())));
  }

  void schedule() {
    if (this->Plan.HalfRefuse > Duration::zero())
      this->Events.at(Instant(this->Plan.HalfRefuse), [this] {
        for (std::size_t I = 0; I < this->Upstreams.size(); I += 2)
          this->Upstreams[I].Refuses = true;
      });
    if (this->Plan.Leaves == Duration::zero())
      return;
    this->Events.at(Instant(this->Plan.Leaves + GraceAfterLeaving),
                    [this] { this->checkZone(); });
    this->moveZone(this->Plan.Leaves, false);
    this->moveZone(this->Plan.Returns, true);
  }

  void moveZone(Duration When, bool Returns) {
    this->Events.at(Instant(When), [this, Returns] {
      if (Returns)
        this->Figures.AboveAtStart = this->above();
      for (auto &Entry : this->Entries)
        this->Events.after(this->someDelay(), [&Entry, Returns] {
          Entry->setOutOfService(Returns ? std::set<ZoneName>()
                                         : std::set<ZoneName>{zoneOf(0)});
        });
      for (MeshUpstream &One : this->Upstreams) {
        if (One.Candidate.Zone != zoneOf(0))
          continue;
        // An upstream without work has become cold by the time it returns.
        if (Returns)
          One.Gate->turnCold();
        this->Events.after(this->someDelay(), [&One, Returns] {
          Returns ? One.Gate->restore() : One.Gate->leave();
        });
      }
    });
  }

  void nextArrival() {
    double Rate = this->counts() ? this->Plan.Rate : this->Plan.WarmingRate;
    Rate *= static_cast<double>(this->Upstreams.size());
    double Gap = -std::log(this->uniform()) / Rate;
    this->Events.after(Duration(static_cast<Duration::rep>(Gap * 1e6)), [this] {
      this->arrive();
      this->nextArrival();
    });
  }

  SimulatedCall someCall() {
    double Pick = this->uniform();
    double Work = 0.5 + this->uniform();
    SimulatedCall Call;
    Instant Now = this->Events.now();
    if (Pick < 0.1)
      Call = {CallClass::Urgent, Now + milliseconds(500), RouteName("urgent"),
              false, Duration(static_cast<Duration::rep>(12000 * Work))};
    else if (Pick < 0.7)
      Call = {CallClass::Interactive, Now + seconds(1), RouteName("browse"),
              false, Duration(static_cast<Duration::rep>(18000 * Work))};
    else
      Call = {CallClass::Bulk, Now + seconds(3), RouteName("upload"), false,
              Duration(static_cast<Duration::rep>(30000 * Work))};
    return Call;
  }

  void arrive() {
    SimulatedCall Call = this->someCall();
    bool Idempotent = this->uniform() < IdempotentPart;
    auto &Entry = *this->Entries[this->Random() % this->Entries.size()];
    bool Counted = this->counts();
    auto Class = static_cast<std::size_t>(Call.Class);
    if (Counted) {
      ++this->Figures.Calls[Class];
      ++this->Figures.AllCalls;
    }
    Instant Start = this->Events.now();
    Entry.call(Call, Idempotent, [this, Class, Counted, Start](bool Answered) {
      if (!Counted)
        return;
      if (!Answered)
        ++this->Figures.Lost[Class];
      else
        this->Latencies.push_back(
            static_cast<double>((this->Events.now() - Start).count()) / 1000);
    });
  }

  MeshExperiment Plan;
  EventQueue Events;
  RandomFunction Random;
  std::vector<MeshUpstream> Upstreams;
  std::vector<std::unique_ptr<MeshEntry>> Entries;
  std::vector<double> Latencies;
  std::optional<std::uint64_t> StartedAtGrace;
  std::uint64_t Local = 0;
  MeshFigures Figures;
};

} // namespace

const char *toString(ChoicePolicy Policy) {
  return Policy == ChoicePolicy::TwoChoices ? "two-choices" : "round-robin";
}

const char *toString(RetryPolicy Policy) {
  return Policy == RetryPolicy::Budget ? "budget" : "no-budget";
}

MeshFigures run(const MeshExperiment &Experiment) {
  return MeshRun(Experiment).run();
}

} // namespace amaranthward
