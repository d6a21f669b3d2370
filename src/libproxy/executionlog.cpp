#include "libproxy/execution.h"
#include "libproxy/requestlog.h"

namespace amaranthward {

Duration Execution::waited() const {
  return (this->WasStarted ? this->StartedAt : this->Loop.now()) -
         this->ArrivedAt;
}

void Execution::logEnd(const std::string &Reason) const {
  Instant Now = this->Loop.now();
  LogFields Fields = requestFields(this->Names, this->Source->request().Headers,
                                   this->Request.Id.str());
  Fields.add("route", this->Request.Route.str())
      .add("instance", this->Instance.str())
      .add("outcome", toString(this->FinalOutcome))
      .add("status", this->FinalOutcome == Outcome::Answered
                         ? this->ResponseHead.Status
                         : this->FailureStatus)
      .add("reason", Reason)
      .add("started", this->WasStarted)
      .add("waited_ms", this->waited())
      .add("took_ms", Now - this->ArrivedAt)
      .add("arrived_lag_ms", this->ArrivedLag)
      .add("lag_ms", this->Loop.eventLag());
  Fields.add("revision", this->RevisionAtAdmission.value());
  addStatus(Fields, this->StatusAtAdmission);
  if (this->UpstreamTime)
    Fields.add("upstream_ms", *this->UpstreamTime);
  logEvent(logpart::Gate, "executed", Fields, Now);
}

} // namespace amaranthward
