#include "libproxy/announcementcheck.h"
#include "libproxy/gaterole.h"

#include <algorithm>

namespace amaranthward {

namespace {

constexpr int Unavailable = 503;
constexpr std::size_t MaxAnnouncementBytes = 4096;

} // namespace

Result<void> GateRole::announce(const UpstreamAnnouncement &Upstream) {
  if (this->isOutdated(Upstream))
    return {};
  if (auto Checked = this->check(Upstream); !Checked)
    return Checked;
  this->LastAnnounced = this->Loop.now();
  bool Replaced = !this->Current || !this->Current->sameStart(Upstream);
  bool WasLeaving = this->Current && this->Current->Leaving;
  bool Unchanged = !Replaced && WasLeaving == Upstream.Leaving &&
                   this->Current->Connections == Upstream.Connections;
  this->Current = this->NewestAnnouncement = Upstream;
  if (Replaced) {
    this->SawFirstAnnouncement = Upstream.isFirst();
    this->createAdmission();
  }
  this->updateAdmission();
  if (Unchanged) {
    this->scheduleWake();
    return {};
  }
  if (Upstream.Leaving || this->OwnZoneOutOfService)
    this->Admission->leave(this->LastAnnounced);
  else if (WasLeaving)
    this->Admission->restore(this->LastAnnounced);
  this->scheduleWake();
  this->logUpstream("upstream_changed");
  if (this->Hooks.OnUpstream)
    this->Hooks.OnUpstream(this->Current);
  return {};
}

Result<void> GateRole::check(const UpstreamAnnouncement &Received) const {
  AnnouncementContext Known;
  Known.OwnService = this->Options.OwnService;
  Known.OwnAddress = this->Options.OwnAddress;
  Known.View = this->State.View.get();
  Known.Current = this->Current ? &*this->Current : nullptr;
  Known.Silence = this->Loop.now() - this->LastAnnounced;
  return checkAnnouncement(Received, Known);
}

void GateRole::setOwnUpstream(const ServiceName &Service,
                              const Endpoint &Address) {
  this->Options.OwnService = Service;
  this->Options.OwnAddress = Address;
}

bool GateRole::isOutdated(const UpstreamAnnouncement &Received) const {
  if (!Received.Instance.empty() && this->EndedInstance == Received.Instance &&
      this->NewestAnnouncement->StartedAt >= Received.StartedAt)
    return true;
  if (!this->NewestAnnouncement ||
      Received.StartedAt > this->NewestAnnouncement->StartedAt)
    return false;
  if (Received.StartedAt < this->NewestAnnouncement->StartedAt)
    return true;
  return Received.Instance == this->NewestAnnouncement->Instance &&
         Received.Sequence != 0 &&
         Received.Sequence <= this->NewestAnnouncement->Sequence;
}

void GateRole::deregister(const UpstreamEnd &End) {
  if (!this->NewestAnnouncement ||
      this->NewestAnnouncement->Instance != End.Instance)
    return;
  if (End.StartedAt != 0 && End.StartedAt < this->NewestAnnouncement->StartedAt)
    return;
  this->EndedInstance = End.Instance;
  if (!this->Current || this->Current->Leaving)
    return;
  this->Current->Leaving = true;
  this->Admission->leave(this->Loop.now());
  this->scheduleWake();
  this->logUpstream("upstream_ends");
  if (this->Hooks.OnUpstream)
    this->Hooks.OnUpstream(this->Current);
}

AdmissionSettings GateRole::admissionSettings() const {
  AdmissionSettings Settings;
  Settings.Slots = this->Current->Slots;
  const ServiceSpec *Service =
      this->State.View ? this->State.View->service(this->Current->Service)
                       : nullptr;
  if (Service) {
    Settings.Slots = std::min(Settings.Slots, Service->Limits.Slots);
    Settings.Queue = Service->Limits.Queue;
    Settings.WarmUp = Service->Limits.WarmUp;
  }
  return Settings;
}

void GateRole::updateAdmission() {
  if (!this->Current || !this->State.View)
    return;
  const ServiceName &Name = this->Current->Service;
  this->Admission->reserveForUrgent(this->State.View->hasUrgentRoute(Name));
  const ServiceSpec *Service = this->State.View->service(Name);
  if (!Service || !this->Current->ColdFor)
    return;
  Instant Now = this->Loop.now();
  Duration Left = *this->Current->ColdFor - (Now - this->LastAnnounced);
  this->Admission->declareCold(std::max(Left, Duration(0)),
                               Service->Limits.ColdCallsPerSecond, Now);
}

Instant GateRole::callsKnownSince() const {
  // Calls to an earlier start at the same address reach the new start, too.
  Instant Since = this->LastStart.value_or(Instant::min());
  return this->SawFirstAnnouncement ? Since : std::max(Since, this->Created);
}

void GateRole::createAdmission() {
  AdmissionSettings Settings = this->admissionSettings();
  auto Made = AdmissionControl::create(Settings, this->callsKnownSince());
  if (!Made)
    return;
  // Queued requests were meant for the previous upstream.
  for (const auto &[Id, Each] : std::map(this->InFlightRequests))
    Each->refuse(Unavailable, "upstream-replaced");
  this->Tickets.clear();
  this->Limits = Settings;
  this->Admission.emplace(std::move(*Made));
}

void GateRole::handleAnnounce(std::shared_ptr<ServerExchange> Exchange) {
  readBody(Exchange, MaxAnnouncementBytes, [this](auto Done, std::string Text) {
    auto Body = parseJson(Text);
    auto Parsed =
        Body ? UpstreamAnnouncement::parse(*Body)
             : Result<UpstreamAnnouncement>(tl::make_unexpected(Body.error()));
    if (!Parsed) {
      respondJson(*Done, 400, {{"error", Parsed.error().Message}});
      return;
    }
    if (auto Taken = this->announce(*Parsed); !Taken)
      return respondJson(*Done, 400, {{"error", Taken.error().Message}});
    respondJson(*Done, 200, Json::object());
  });
}

void GateRole::withdraw() {
  this->logUpstream("upstream_lost");
  this->Current.reset();
  for (const auto &[Id, Each] : std::map(this->InFlightRequests))
    Each->refuse(Unavailable, "no-upstream");
  if (this->Hooks.OnUpstream)
    this->Hooks.OnUpstream(std::nullopt);
}

} // namespace amaranthward
