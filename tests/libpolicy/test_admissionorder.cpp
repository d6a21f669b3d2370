#include "libpolicy/admissioncontrol.h"

#include <algorithm>
#include <doctest/doctest.h>

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
                            Duration Deadline) {
    AdmissionRequest Call;
    Call.Route = RouteName("r");
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
