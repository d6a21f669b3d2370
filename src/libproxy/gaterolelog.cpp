#include "libproxy/gaterole.h"
#include "libproxy/requestlog.h"

namespace amaranthward {

void GateRole::logRefusal(const ForwardedRequest &Request,
                          const HttpHeaders &Received,
                          const std::string &Reason) const {
  Instant Now = this->Loop.now();
  LogFields Fields =
      requestFields(this->Options.Names, Received, Request.Id.str());
  Fields.add("route", Request.Route.str())
      .add("reason", Reason)
      .add("time_left_ms", Request.TimeLeft)
      .add("revision", this->State.Applied.value())
      .add("sender_revision", Request.SenderRevision.value());
  if (this->Current)
    Fields.add("instance", this->Current->Instance.str())
        .add("announced_ms_ago", Now - this->LastAnnounced);
  if (this->Admission)
    addStatus(Fields, this->Admission->status(Now));
  logEvent(logpart::Gate, "refused", Fields, Now);
}

void GateRole::logUpstream(const char *Event) const {
  Instant Now = this->Loop.now();
  LogFields Fields;
  if (this->NewestAnnouncement)
    Fields.add("instance", this->NewestAnnouncement->Instance.str())
        .add("service", this->NewestAnnouncement->Service.str())
        .add("version", this->NewestAnnouncement->Version.str())
        .add("address", this->NewestAnnouncement->Address.str())
        .add("slots", this->NewestAnnouncement->Slots)
        .add("leaving", this->NewestAnnouncement->Leaving)
        .add("started_at", this->NewestAnnouncement->StartedAt)
        .add("sequence", this->NewestAnnouncement->Sequence)
        .add("announced_ms_ago", Now - this->LastAnnounced);
  logEvent(logpart::Gate, Event, Fields, Now);
}

} // namespace amaranthward
