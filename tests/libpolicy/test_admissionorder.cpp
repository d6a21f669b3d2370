#include "libpolicy/admissioncontrol.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr Duration Work = 100ms;

/// A gate with one slot whose upstream takes 100 ms for each call.
struct Gate {
  Gate() {
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
    this->Now += Work;
    this->finish(Decision.Ticket);
  }
  AdmissionActions finish(AdmissionTicket Ticket) {
    return this->Control->complete(Ticket, UpstreamResult::Success, Work,
                                   this->Now);
  }

  Instant Now{100s};
  std::unique_ptr<AdmissionControl> Control;
};

} // namespace

TEST_CASE("A call that cannot end before its deadline is refused at once") {
  // Guards against runs that the upstream breaks off at the deadline: their
  // callers get nothing and others lose the slot.
  Gate One;
  CHECK(One.request(0, 50ms, 90ms).Verdict == AdmissionVerdict::Refuse);
  CHECK(One.request(0, 50ms, 150ms).Verdict == AdmissionVerdict::Admit);
  // One call runs: the next one has to wait for it.
  CHECK(One.request(0, 50ms, 150ms).Verdict == AdmissionVerdict::Refuse);
  CHECK(One.request(0, 50ms, 350ms).Verdict == AdmissionVerdict::Queue);
}

TEST_CASE("A waiting call is refused as soon as it cannot end in time") {
  // Guards against calls that are told only at their deadline that they have
  // not run, when their callers have no time left to come back.
  Gate One;
  auto Running = One.request(0, 1s, 5s);
  REQUIRE(Running.Verdict == AdmissionVerdict::Admit);
  auto Waiting = One.request(0, 200ms, 400ms);
  REQUIRE(Waiting.Verdict == AdmissionVerdict::Queue);
  Instant Hopeless = One.Now + 400ms - Work;
  CHECK(One.Control->nextWake() == Hopeless);
  CHECK(One.Control->advance(Hopeless - 1ms).Refused.empty());
  auto Late = One.Control->advance(Hopeless);
  REQUIRE(Late.Refused.size() == 1);
  CHECK(Late.Refused[0].Ticket == Waiting.Ticket);
  CHECK((Late.Refused[0].Reason == RefusalReason::DeadlineTooShort));
}

TEST_CASE("Without urgent routes every slot takes work") {
  // Guards against a slot that stays idle under full load: with 9 slots, one
  // in nine of what the upstream could do.
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

TEST_CASE("A lower rank goes first") {
  // Guards against urgent calls that fail while others are served.
  Gate One;
  auto Running = One.request(0, 1s, 5s);
  auto Lookup = One.request(2, 300ms, 5s);
  auto Order = One.request(1, 1s, 5s);
  REQUIRE(Lookup.Verdict == AdmissionVerdict::Queue);
  One.Now += Work;
  CHECK(One.finish(Running.Ticket).Start ==
        std::vector<AdmissionTicket>{Order.Ticket});
}

TEST_CASE("A call that can meet its objective goes before one that cannot") {
  // Guards against a backlog in which every call is late.
  Gate One;
  auto Running = One.request(0, 1s, 5s);
  auto Late = One.request(1, 120ms, 5s);
  One.Now += Work;
  auto Fresh = One.request(1, 300ms, 5s);
  REQUIRE(Fresh.Verdict == AdmissionVerdict::Queue);
  CHECK(One.finish(Running.Ticket).Start ==
        std::vector<AdmissionTicket>{Fresh.Ticket});
  One.Now += Work;
  CHECK(One.finish(Fresh.Ticket).Start ==
        std::vector<AdmissionTicket>{Late.Ticket});
}

TEST_CASE("An overloaded gate serves the routes of a rank in like parts") {
  // Guards against uploads that starve behind short calls of the same rank,
  // which are always due sooner. The load is 1.6 times the capacity: one
  // upload of 100 ms and one call of 100 ms in every 125 ms at one slot.
  Gate One;
  struct Part {
    int Asked = 0;
    int Started = 0;
    double value() const { return double(this->Started) / this->Asked; }
  };
  Part Short;
  Part Upload;
  std::map<AdmissionTicket, Part *> Waiting;
  std::optional<AdmissionTicket> Running;
  auto Start = [&](AdmissionTicket Ticket, Part &Of) {
    ++Of.Started;
    Running = Ticket;
  };
  auto Ask = [&](Part &Of, Duration Objective, Duration Deadline,
                 const char *Route) {
    ++Of.Asked;
    auto Decision = One.request(1, Objective, Deadline, Route);
    if (Decision.Verdict == AdmissionVerdict::Admit)
      Start(Decision.Ticket, Of);
    else if (Decision.Verdict == AdmissionVerdict::Queue)
      Waiting[Decision.Ticket] = &Of;
  };
  for (int Step = 0; Step < 4000; ++Step) {
    One.Now += 25ms;
    if (Step % 5 == 0)
      Ask(Short, 120ms, 400ms, "short");
    if (Step % 5 == 2)
      Ask(Upload, 500ms, 1200ms, "upload");
    if (Step % 4 != 3)
      continue;
    AdmissionActions Done =
        Running ? One.finish(*Running) : One.Control->advance(One.Now);
    Running.reset();
    for (AdmissionTicket Each : Done.Start)
      Start(Each, *Waiting.at(Each));
  }
  CHECK(Short.Asked == 800);
  CHECK(Upload.Started + Short.Started > 900);
  CHECK(Upload.value() == doctest::Approx(Short.value()).epsilon(0.15));
}
