#include "libpolicy/admissioncontrol.h"

#include <doctest/doctest.h>
#include <map>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};

AdmissionControl gate(const AdmissionSettings &Settings = {}) {
  return AdmissionControl::create(Settings).value();
}

AdmissionRequest call(CallClass Class, Instant Deadline = Start + 10s) {
  return {Class, Deadline, RouteName("route"), false};
}

/// Runs calls one after another until the gate has its full limit.
Instant warmUp(AdmissionControl &Gate, std::uint32_t Slots) {
  Instant Now = Start;
  AdmissionActions Ignored;
  std::vector<AdmissionTicket> Running;
  for (int I = 0; I < 20000; ++I) {
    auto Status = Gate.status(Now);
    if (Status.Phase == WarmthPhase::Warm)
      break;
    while (true) {
      auto Decision =
          Gate.request(call(CallClass::Urgent, Now + 100s), Now, Ignored);
      if (Decision.Verdict != AdmissionVerdict::Admit) {
        Gate.cancelQueued(Decision.Ticket);
        break;
      }
      Running.push_back(Decision.Ticket);
    }
    Now += 10ms;
    for (AdmissionTicket Ticket : Running)
      Gate.complete(Ticket, UpstreamResult::Success, 10ms, Now);
    Running.clear();
  }
  REQUIRE(Gate.status(Now).Limit == Slots);
  return Now;
}

} // namespace

TEST_CASE("Settings without slots or with a negative warm-up are refused") {
  // Guards against a division by a limit of 0.
  AdmissionSettings Settings;
  Settings.Slots = 0;
  CHECK(!AdmissionControl::create(Settings));
  Settings.Slots = 1;
  Settings.WarmUp = -1s;
  CHECK(!AdmissionControl::create(Settings));
}

TEST_CASE("A new gate runs one call at a time") {
  // Guards against full load on an upstream that may just have started.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  auto First = Gate.request(call(CallClass::Interactive), Start, Actions);
  auto Second = Gate.request(call(CallClass::Urgent), Start, Actions);
  CHECK(First.Verdict == AdmissionVerdict::Admit);
  CHECK(Second.Verdict == AdmissionVerdict::Queue);
  CHECK(Gate.status(Start).Limit == 1);
  Actions =
      Gate.complete(First.Ticket, UpstreamResult::Success, 5ms, Start + 5ms);
  REQUIRE(Actions.Start.size() == 1);
  CHECK(Actions.Start[0] == Second.Ticket);
}

TEST_CASE("The warm-up time begins with the first call") {
  // Guards against a ramp that counts the idle time before the first call.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  Instant Later = Start + 1h;
  Gate.request(call(CallClass::Urgent, Later + 10s), Later, Actions);
  CHECK(Gate.status(Later).Limit == 1);
}

TEST_CASE("Waiting calls start by class, then by deadline") {
  // Guards against starts in order of arrival.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  auto Running = Gate.request(call(CallClass::Bulk), Start, Actions);
  auto Bulk = Gate.request(call(CallClass::Bulk, Start + 1s), Start, Actions);
  auto Late =
      Gate.request(call(CallClass::Interactive, Start + 9s), Start, Actions);
  auto Early =
      Gate.request(call(CallClass::Interactive, Start + 2s), Start, Actions);
  auto Urgent = Gate.request(call(CallClass::Urgent), Start, Actions);
  std::vector<AdmissionTicket> Order;
  AdmissionTicket Next = Running.Ticket;
  for (int I = 1; I <= 4; ++I) {
    auto Done =
        Gate.complete(Next, UpstreamResult::Success, 1ms, Start + I * 1ms);
    REQUIRE(Done.Start.size() == 1);
    Next = Done.Start[0];
    Order.push_back(Next);
  }
  CHECK(Order == std::vector<AdmissionTicket>{Urgent.Ticket, Early.Ticket,
                                              Late.Ticket, Bulk.Ticket});
}

TEST_CASE("Other classes leave a slot free for urgent calls") {
  // Guards against bulk or interactive calls that take every slot.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  AdmissionActions Actions;
  std::map<AdmissionVerdict, int> Bulk;
  for (int I = 0; I < 9; ++I)
    ++Bulk[Gate.request(call(CallClass::Bulk, Now + 10s), Now, Actions)
               .Verdict];
  CHECK(Bulk[AdmissionVerdict::Admit] == 6);
  std::map<AdmissionVerdict, int> Interactive;
  for (int I = 0; I < 9; ++I)
    ++Interactive[Gate.request(call(CallClass::Interactive, Now + 10s), Now,
                               Actions)
                      .Verdict];
  CHECK(Interactive[AdmissionVerdict::Admit] == 2);
  auto Urgent = Gate.request(call(CallClass::Urgent, Now + 10s), Now, Actions);
  CHECK(Urgent.Verdict == AdmissionVerdict::Admit);
}

TEST_CASE("Only a higher class displaces calls from a full queue") {
  // Guards against urgent calls refused for queued bulk calls, and against bulk
  // calls that displace others.
  AdmissionSettings Settings;
  Settings.Slots = 1;
  Settings.Queue = 2;
  AdmissionControl Gate = gate(Settings);
  AdmissionActions Actions;
  Gate.request(call(CallClass::Interactive), Start, Actions);
  auto Bulk = Gate.request(call(CallClass::Bulk), Start, Actions);
  auto Refused = Gate.request(call(CallClass::Bulk), Start, Actions);
  CHECK((Refused.Reason == RefusalReason::QueueFull));
  Gate.request(call(CallClass::Interactive), Start, Actions);
  CHECK(Actions.Refused.empty());
  Gate.request(call(CallClass::Urgent), Start, Actions);
  REQUIRE(Actions.Refused.size() == 1);
  CHECK(Actions.Refused[0].Ticket == Bulk.Ticket);
  CHECK((Actions.Refused[0].Reason == RefusalReason::Displaced));
}

TEST_CASE("Calls that cannot meet their deadline are refused on arrival") {
  // Guards against slots used for responses that arrive after the deadline.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  AdmissionActions Actions;
  // The calls of warmUp() took 10 ms.
  auto TooShort =
      Gate.request(call(CallClass::Urgent, Now + 5ms), Now, Actions);
  CHECK(TooShort.Verdict == AdmissionVerdict::Refuse);
  CHECK((TooShort.Reason == RefusalReason::DeadlineTooShort));
  for (int I = 0; I < 9; ++I)
    Gate.request(call(CallClass::Urgent, Now + 10s), Now, Actions);
  for (int I = 0; I < 40; ++I)
    Gate.request(call(CallClass::Urgent, Now + 10s), Now, Actions);
  auto NoTime =
      Gate.request(call(CallClass::Interactive, Now + 30ms), Now, Actions);
  CHECK((NoTime.Reason == RefusalReason::DeadlineTooShort));
  CHECK(NoTime.RetryAfter > 30ms);
}

TEST_CASE("An old estimate of the service time expires") {
  // Guards against calls that are refused forever: refused calls give no
  // measurement that could correct the estimate.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  AdmissionActions Actions;
  Now += 2s;
  auto Decision =
      Gate.request(call(CallClass::Urgent, Now + 5ms), Now, Actions);
  CHECK(Decision.Verdict == AdmissionVerdict::Admit);
}

TEST_CASE("Waiting calls are refused at their deadline") {
  // Without measurements the service time is taken as zero, so the calls can
  // wait until the deadline itself.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  Gate.request(call(CallClass::Interactive), Start, Actions);
  auto Waiting =
      Gate.request(call(CallClass::Urgent, Start + 20ms), Start, Actions);
  REQUIRE(Gate.nextWake());
  CHECK(*Gate.nextWake() == Start + 20ms);
  CHECK(Gate.advance(Start + 19ms).Refused.empty());
  auto Expired = Gate.advance(Start + 20ms);
  REQUIRE(Expired.Refused.size() == 1);
  CHECK(Expired.Refused[0].Ticket == Waiting.Ticket);
  CHECK(!Gate.nextWake());
}

TEST_CASE("A leaving gate refuses new calls and completes running ones") {
  // Guards against calls lost when an upstream stops, and against queued calls
  // that are not refused after the grace time.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  auto Running = Gate.request(call(CallClass::Interactive), Start, Actions);
  auto Waiting = Gate.request(call(CallClass::Interactive), Start, Actions);
  Gate.leave(Start);
  auto New = Gate.request(call(CallClass::Urgent), Start, Actions);
  CHECK((New.Reason == RefusalReason::Leaving));
  REQUIRE(Gate.nextWake());
  CHECK(*Gate.nextWake() == Start + AdmissionControl::LeavingGrace);
  auto Late = Gate.advance(Start + AdmissionControl::LeavingGrace);
  REQUIRE(Late.Refused.size() == 1);
  CHECK(Late.Refused[0].Ticket == Waiting.Ticket);
  CHECK((Late.Refused[0].Reason == RefusalReason::Leaving));
  CHECK(Gate.status(Start).InFlight == 1);
  Gate.complete(Running.Ticket, UpstreamResult::Success, {}, Start + 5s);
  CHECK(Gate.status(Start + 5s).InFlight == 0);
}

TEST_CASE("A gate that returns to service is cold") {
  // Guards against full load on cold upstreams when their zone returns.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  Gate.leave(Now);
  Gate.restore(Now + 10s);
  CHECK(Gate.status(Now + 10s).Limit == 1);
  CHECK(!Gate.status(Now + 10s).Leaving);
  AdmissionActions Actions;
  auto Decision =
      Gate.request(call(CallClass::Urgent, Now + 20s), Now + 10s, Actions);
  CHECK(Decision.Verdict == AdmissionVerdict::Admit);
}

TEST_CASE("A load report lowers the limit for a time, to no less than half") {
  // Guards against a wrong report that stops an upstream, and against an old
  // one that still limits it.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  Gate.hintLoad(0.01, Now);
  CHECK(Gate.status(Now).Limit == 9);
  Gate.hintLoad(100, Now);
  CHECK(Gate.status(Now).Limit == 5);
  CHECK(Gate.status(Now + AdmissionControl::LoadHintTimeout + 1us).Limit == 9);
}

TEST_CASE("Overdue running calls show a cold upstream") {
  // Guards against detection that depends on completions, which an upstream
  // that has stalled does not give.
  AdmissionControl Gate = gate();
  Instant Now = warmUp(Gate, 9);
  AdmissionActions Actions;
  for (int I = 0; I < 6; ++I)
    Gate.request({CallClass::Bulk, Now + 10s, RouteName("route"), I % 2 == 0},
                 Now, Actions);
  for (int I = 0; I < 2; ++I)
    Gate.request(call(CallClass::Interactive, Now + 10s), Now, Actions);
  Gate.request(call(CallClass::Urgent, Now + 10s), Now, Actions);
  CHECK(Gate.status(Now).InFlight == 9);
  AdmissionActions Found = Gate.advance(Now + 100ms);
  CHECK(Gate.status(Now + 100ms).Limit == 1);
  CHECK(Gate.status(Now + 100ms).ColdDetections == 1);
  // Only the calls marked as cancellable are cancelled.
  CHECK(Found.Cancel.size() == 3);
  CHECK(Found.Start.empty());
}

TEST_CASE("Unknown and repeated tickets are ignored") {
  // Guards against a wrong count of running calls after a second completion.
  AdmissionControl Gate = gate();
  AdmissionActions Actions;
  auto Running = Gate.request(call(CallClass::Urgent), Start, Actions);
  Gate.complete(AdmissionTicket(99), UpstreamResult::Failure, {}, Start);
  CHECK(Gate.status(Start).InFlight == 1);
  Gate.complete(Running.Ticket, UpstreamResult::Success, {}, Start + 1ms);
  Gate.complete(Running.Ticket, UpstreamResult::Success, {}, Start + 1ms);
  CHECK(Gate.status(Start + 1ms).InFlight == 0);
}
