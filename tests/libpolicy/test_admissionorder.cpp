#include "libpolicy/admissioncontrol.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// Service time of each call.
constexpr Duration ServiceTime = 100ms;

/// A gate with one slot whose upstream takes ServiceTime for each call.
struct SingleSlotGate {
  SingleSlotGate() {
    AdmissionSettings Settings;
    Settings.Slots = 1;
    this->Control = std::make_unique<AdmissionControl>(
        std::move(*AdmissionControl::create(Settings)));
    this->Control->declareCold(0s, 21, this->Now);
    this->runOne();
  }
  AdmissionDecision request(std::uint32_t Rank, Duration Objective,
                            Duration Deadline, const char *Route = "r") {
    AdmissionRequest Call;
    Call.Route = RouteName(Route);
    Call.Rank = Rank;
    Call.Objective = this->Now + Objective;
    Call.Deadline = this->Now + Deadline;
    AdmissionActions Actions;
    return this->Control->request(Call, this->Now, Actions);
  }
  /// Starts and ends one call, so that the gate knows how long calls take.
  void runOne() {
    auto Decision = this->request(0, 10s, 10s);
    this->Now += ServiceTime;
    this->finish(Decision.Ticket);
  }
  AdmissionActions finish(AdmissionTicket Ticket) {
    return this->Control->complete(Ticket, UpstreamResult::Success, ServiceTime,
                                   this->Now);
  }

  Instant Now{100s};
  std::unique_ptr<AdmissionControl> Control;
};

} // namespace

TEST_CASE("A call that cannot end before its deadline is refused on arrival") {
  // Guards against calls that the upstream aborts at their deadline: they
  // return nothing and use a slot that other calls need.
  SingleSlotGate Gate;
  CHECK(Gate.request(0, 50ms, 90ms).Verdict == AdmissionVerdict::Refuse);
  CHECK(Gate.request(0, 50ms, 150ms).Verdict == AdmissionVerdict::Admit);
  // The next call has to wait for the running one.
  CHECK(Gate.request(0, 50ms, 150ms).Verdict == AdmissionVerdict::Refuse);
  CHECK(Gate.request(0, 50ms, 350ms).Verdict == AdmissionVerdict::Queue);
}

TEST_CASE("A waiting call is refused as soon as it cannot end in time") {
  // Guards against calls that are refused only at their deadline, when their
  // callers have no time for another attempt.
  SingleSlotGate Gate;
  auto Running = Gate.request(0, 1s, 5s);
  REQUIRE(Running.Verdict == AdmissionVerdict::Admit);
  auto Waiting = Gate.request(0, 200ms, 400ms);
  REQUIRE(Waiting.Verdict == AdmissionVerdict::Queue);
  Instant Infeasible = Gate.Now + 400ms - ServiceTime;
  CHECK(Gate.Control->nextWake() == Infeasible);
  CHECK(Gate.Control->advance(Infeasible - 1ms).Refused.empty());
  auto Late = Gate.Control->advance(Infeasible);
  REQUIRE(Late.Refused.size() == 1);
  CHECK(Late.Refused[0].Ticket == Waiting.Ticket);
  CHECK((Late.Refused[0].Reason == RefusalReason::DeadlineTooShort));
}

TEST_CASE("Without urgent routes no slot is reserved") {
  // Guards against a slot that stays idle under full load: with 9 slots, a
  // ninth of the capacity.
  AdmissionSettings Settings;
  Settings.Slots = 9;
  auto Control = AdmissionControl::create(Settings).value();
  Instant Now{100s};
  Control.declareCold(0s, 21, Now);
  Control.reserveForUrgent(false);
  AdmissionActions Actions;
  AdmissionRequest Call;
  Call.Deadline = Now + 5s;
  for (int I = 0; I < 9; ++I)
    CHECK(Control.request(Call, Now, Actions).Verdict ==
          AdmissionVerdict::Admit);
  CHECK(Control.request(Call, Now, Actions).Verdict == AdmissionVerdict::Queue);
}

TEST_CASE("Calls of a lower rank start first") {
  // Guards against calls of important routes that fail while others are served.
  SingleSlotGate Gate;
  auto Running = Gate.request(0, 1s, 5s);
  auto Lookup = Gate.request(2, 300ms, 5s);
  auto Order = Gate.request(1, 1s, 5s);
  REQUIRE(Lookup.Verdict == AdmissionVerdict::Queue);
  Gate.Now += ServiceTime;
  CHECK(Gate.finish(Running.Ticket).Start ==
        std::vector<AdmissionTicket>{Order.Ticket});
}

TEST_CASE("A call that can meet its objective starts before a late one") {
  // Guards against a backlog in which every call is late.
  SingleSlotGate Gate;
  auto Running = Gate.request(0, 1s, 5s);
  auto Late = Gate.request(1, 120ms, 5s);
  Gate.Now += ServiceTime;
  auto Fresh = Gate.request(1, 300ms, 5s);
  REQUIRE(Fresh.Verdict == AdmissionVerdict::Queue);
  CHECK(Gate.finish(Running.Ticket).Start ==
        std::vector<AdmissionTicket>{Fresh.Ticket});
  Gate.Now += ServiceTime;
  CHECK(Gate.finish(Fresh.Ticket).Start ==
        std::vector<AdmissionTicket>{Late.Ticket});
}

TEST_CASE("An overloaded gate serves routes of the same rank alike") {
  // Guards against uploads that never start because calls of the same rank with
  // short deadlines are always due sooner. The load is 1.6 times the capacity:
  // an upload and a short call of 100 ms each every 125 ms at one slot.
  SingleSlotGate Gate;
  struct RouteCounts {
    int Requested = 0;
    int Started = 0;
    double startedFraction() const {
      return double(this->Started) / this->Requested;
    }
  };
  RouteCounts Short;
  RouteCounts Upload;
  std::map<AdmissionTicket, RouteCounts *> Waiting;
  std::optional<AdmissionTicket> Running;
  auto Start = [&](AdmissionTicket Ticket, RouteCounts &Counts) {
    ++Counts.Started;
    Running = Ticket;
  };
  auto Request = [&](RouteCounts &Counts, Duration Objective, Duration Deadline,
                     const char *Route) {
    ++Counts.Requested;
    auto Decision = Gate.request(1, Objective, Deadline, Route);
    if (Decision.Verdict == AdmissionVerdict::Admit)
      Start(Decision.Ticket, Counts);
    else if (Decision.Verdict == AdmissionVerdict::Queue)
      Waiting[Decision.Ticket] = &Counts;
  };
  for (int Step = 0; Step < 4000; ++Step) {
    Gate.Now += 25ms;
    if (Step % 5 == 0)
      Request(Short, 120ms, 400ms, "short");
    if (Step % 5 == 2)
      Request(Upload, 500ms, 1200ms, "upload");
    if (Step % 4 != 3)
      continue;
    AdmissionActions Done =
        Running ? Gate.finish(*Running) : Gate.Control->advance(Gate.Now);
    Running.reset();
    for (AdmissionTicket Started : Done.Start)
      Start(Started, *Waiting.at(Started));
  }
  CHECK(Short.Requested == 800);
  CHECK(Upload.Started + Short.Started > 900);
  CHECK(Upload.startedFraction() ==
        doctest::Approx(Short.startedFraction()).epsilon(0.15));
}
