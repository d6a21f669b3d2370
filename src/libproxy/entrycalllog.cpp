#include "libproxy/entrycall.h"
#include "libproxy/requestlog.h"

namespace amaranthward {

LogFields EntryCall::logFields() const {
  LogFields Fields =
      requestFields(this->Shared.Names, this->Exchange->request().Headers,
                    this->Id.Sequence == 0 ? "" : this->Id.str());
  Fields.add("route", this->Route.Name.str());
  return Fields;
}

LogFields EntryCall::choiceFields(Instant Now) const {
  LogFields Fields = this->logFields();
  if (this->Chosen)
    Fields.add("service", this->Route.Service.str())
        .add("version", this->Chosen->Target.Version.str())
        .add("node", this->Chosen->Target.Node.str());
  Fields.add("arrivals", this->UpstreamAttempts)
      .add("refusals", this->GateRefusals)
      .add("revision", this->Shared.State.Applied.value())
      .add("state_age_ms", Now - this->Shared.StateAppliedAt)
      .add("time_left_ms", this->Until.left(Now));
  return Fields;
}

void EntryCall::logForward() const {
  Instant Now = this->Shared.Loop.now();
  logEvent(logpart::Entry, "forward", this->choiceFields(Now), Now);
}

void EntryCall::logAttemptEnd(const char *Ended, int Status,
                              const std::string &Reason,
                              const RetryDecision &Decision,
                              bool BudgetLeft) const {
  Instant Now = this->Shared.Loop.now();
  LogFields Fields = this->choiceFields(Now);
  Fields.add("ended", Ended)
      .add("status", Status)
      .add("reason", Reason)
      .add("took_ms", Now - this->AttemptStart)
      .add("action", nameOf(Decision.Action))
      .add("stopped_by", nameOf(Decision.Reason))
      .add("budget_left", BudgetLeft);
  logEvent(logpart::Entry, "attempt_failed", Fields, Now);
}

void EntryCall::reportEnd(const char *KnownOutcome, int Status,
                          const std::string &Reason) const {
  Instant Now = this->Shared.Loop.now();
  if (this->Shared.Hooks.OnCallEnd)
    this->Shared.Hooks.OnCallEnd(this->Route.Name, KnownOutcome,
                                 Now - this->Received);
  LogFields Fields = this->choiceFields(Now);
  Fields.add("outcome", KnownOutcome)
      .add("status", Status)
      .add("reason", Reason)
      .add("took_ms", Now - this->Received)
      .add("received_lag_ms", this->ReceivedLag)
      .add("lag_ms", this->Shared.Loop.eventLag());
  bool Ok = KnownOutcome == std::string_view(toString(Outcome::Answered));
  logEvent(logpart::Entry, Ok ? "answered" : "failed", Fields, Now);
}

} // namespace amaranthward
