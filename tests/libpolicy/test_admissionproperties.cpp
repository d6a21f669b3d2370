#include "libpolicy/admissioncontrol.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace amaranthward;

namespace {

// rapidcheck reads its seed from the environment only.
const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=100", 0);

enum class TicketState { Waiting, Running, Ended };

/// Applies random operations to a gate and checks its invariants.
class GateProperty {
public:
  explicit GateProperty(std::uint64_t Seed)
      : Random(seededRandom(Seed)), Gate(AdmissionControl::create({}).value()) {
  }

  void step() {
    this->Now += Duration(static_cast<Duration::rep>(this->Random() % 30000));
    switch (this->Random() % 8) {
    case 0:
      return this->apply(this->Gate.advance(this->Now));
    case 1:
      return this->Gate.hintLoad(static_cast<double>(this->Random() % 4),
                                 this->Now);
    case 2:
      if (this->Random() % 40 == 0)
        this->Gate.leave(this->Now);
      else if (this->Random() % 5 == 0)
        this->Gate.restore(this->Now);
      return;
    case 3:
    case 4:
    case 5:
      return this->request();
    default:
      return this->complete();
    }
  }

  void check() {
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    for (const auto &[Ticket, State] : this->Tickets) {
      Running += State == TicketState::Running ? 1 : 0;
      Waiting += State == TicketState::Waiting ? 1 : 0;
    }
    AdmissionStatus Status = this->Gate.status(this->Now);
    RC_ASSERT(Status.InFlight == Running);
    RC_ASSERT(Status.Queued == Waiting);
    RC_ASSERT(Status.Limit >= 1U);
    RC_ASSERT(Status.Limit <= 9U);
    RC_ASSERT(Running <= 9U);
    RC_ASSERT(Waiting <= 64U);
  }

private:
  void request() {
    AdmissionRequest Call;
    Call.Class = static_cast<CallClass>(this->Random() % 3);
    Call.Deadline =
        this->Now +
        Duration(static_cast<Duration::rep>(this->Random() % 500000));
    Call.Route = RouteName(this->Random() % 2 ? "a" : "b");
    Call.Cancellable = this->Random() % 2 == 0;
    std::uint32_t Before = this->Gate.status(this->Now).InFlight;
    AdmissionActions Actions;
    auto Decision = this->Gate.request(Call, this->Now, Actions);
    if (Decision.Verdict == AdmissionVerdict::Admit) {
      RC_ASSERT(Before < this->Gate.status(this->Now).Limit);
      this->add(Decision.Ticket, TicketState::Running);
    } else if (Decision.Verdict == AdmissionVerdict::Queue) {
      this->add(Decision.Ticket, TicketState::Waiting);
    } else {
      RC_ASSERT(Decision.Reason != RefusalReason::None);
    }
    this->apply(Actions);
  }

  void complete() {
    for (auto &[Ticket, State] : this->Tickets) {
      if (State != TicketState::Running)
        continue;
      State = TicketState::Ended;
      auto Result = static_cast<UpstreamResult>(this->Random() % 3);
      return this->apply(
          this->Gate.complete(Ticket, Result, std::nullopt, this->Now));
    }
  }

  void add(AdmissionTicket Ticket, TicketState State) {
    RC_ASSERT(this->Tickets.emplace(Ticket, State).second);
  }

  void apply(const AdmissionActions &Actions) {
    for (AdmissionTicket Ticket : Actions.Start)
      this->leaveQueue(Ticket, TicketState::Running);
    for (const auto &Refusal : Actions.Refused)
      this->leaveQueue(Refusal.Ticket, TicketState::Ended);
    for (AdmissionTicket Ticket : Actions.Cancel)
      RC_ASSERT(this->Tickets.at(Ticket) == TicketState::Running);
  }

  void leaveQueue(AdmissionTicket Ticket, TicketState Next) {
    RC_ASSERT(this->Tickets.at(Ticket) == TicketState::Waiting);
    this->Tickets[Ticket] = Next;
  }

  RandomFunction Random;
  AdmissionControl Gate;
  std::map<AdmissionTicket, TicketState> Tickets;
  Instant Now{std::chrono::seconds(5)};
};

} // namespace

TEST_CASE("Every call is started or refused exactly once") {
  // Guards against calls that the queue loses or starts twice, and against
  // starts beyond the limit.
  CHECK(rc::check([](std::uint64_t Seed) {
    GateProperty Property(Seed);
    for (int Step = 0; Step < 400; ++Step) {
      Property.step();
      Property.check();
    }
  }));
}
