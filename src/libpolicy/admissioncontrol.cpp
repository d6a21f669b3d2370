#include "libpolicy/admissioncontrol.h"

#include "libpolicy/admissiongate.h"

namespace amaranthward {

const char *toString(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::Leaving:
    return "leaving";
  case RefusalReason::DeadlineTooShort:
    return "deadline-too-short";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::Displaced:
    return "displaced";
  }
  return "unknown";
}

AdmissionControl::AdmissionControl(std::unique_ptr<Impl> Body)
    : Body(std::move(Body)) {}
AdmissionControl::AdmissionControl(AdmissionControl &&) noexcept = default;
AdmissionControl &
AdmissionControl::operator=(AdmissionControl &&) noexcept = default;
AdmissionControl::~AdmissionControl() = default;

Result<AdmissionControl>
AdmissionControl::create(const AdmissionSettings &Settings,
                         Instant StartsKnownSince) {
  if (Settings.Slots == 0)
    return fail(ErrorCode::InvalidArgument,
                "admission control needs at least one slot");
  if (Settings.WarmUp < Duration::zero())
    return fail(ErrorCode::InvalidArgument,
                "the warm-up time must not be negative");
  return AdmissionControl(std::make_unique<Impl>(Settings, StartsKnownSince));
}

AdmissionDecision AdmissionControl::request(const AdmissionRequest &Call,
                                            Instant Now,
                                            AdmissionActions &Actions) {
  return this->Body->request(Call, Now, Actions);
}

AdmissionActions
AdmissionControl::complete(AdmissionTicket Ticket, UpstreamResult Result,
                           std::optional<Duration> UpstreamTime, Instant Now) {
  return this->Body->complete(Ticket, Result, UpstreamTime, Now);
}

void AdmissionControl::cancelQueued(AdmissionTicket Ticket) {
  this->Body->cancelQueued(Ticket);
}

AdmissionActions AdmissionControl::advance(Instant Now) {
  return this->Body->advance(Now);
}

std::optional<Instant> AdmissionControl::nextWake() const {
  return this->Body->nextWake();
}

void AdmissionControl::hintLoad(double Load, Instant Now) {
  this->Body->hintLoad(Load, Now);
}

void AdmissionControl::declareCold(Duration ColdFor, double CallsPerSecond,
                                   Instant Now) {
  this->Body->declareCold(ColdFor, CallsPerSecond, Now);
}

void AdmissionControl::reserveForUrgent(bool Enabled) {
  this->Body->reserveForUrgent(Enabled);
}

void AdmissionControl::leave(Instant Now) { this->Body->leave(Now); }

void AdmissionControl::restore(Instant Now) { this->Body->restore(Now); }

void AdmissionControl::resetUpstream(Instant Now) {
  this->Body->resetUpstream(Now);
}

AdmissionStatus AdmissionControl::status(Instant Now) const {
  return this->Body->status(Now);
}

} // namespace amaranthward
