#include "libdistribution/syncclient.h"

#include <algorithm>

namespace amaranthward {

namespace {

// Requests without an answer; above this the reports of the oldest are resent.
constexpr std::size_t MaxUnansweredBatches = 8;

} // namespace

void SyncClient::sendReport(Instant Now) {
  this->ReportAt.reset();
  const ParentSelector::Choice To = this->Selector.current();
  if (To.DataOnly)
    return;
  this->LastSent = Now;
  SyncRequest Report = this->newRequest();
  Report.ReportOnly = true;
  this->addUplinkTo(Report, Now);
  this->Hooks.Send(To.Address, Report);
}

void SyncClient::addUplinkTo(SyncRequest &Request, Instant Now) {
  this->Pending.dropRenewalsBefore(Now - this->Options.MaxRenewalAge);
  Request.Uplink = std::exchange(this->Pending, UplinkBatch());
  this->Unanswered[Request.Sequence] = Request.Uplink;
  if (this->Unanswered.size() > MaxUnansweredBatches) {
    this->Pending.merge(this->Unanswered.begin()->second);
    this->Unanswered.erase(this->Unanswered.begin());
  }
  this->addOwnReports(Request.Uplink, Now);
}

void SyncClient::addOwnReports(UplinkBatch &Batch, Instant Now) {
  if (!this->HasLeft)
    Batch.renew(this->Session, this->State.inForce(), Now);
  const bool Due = !this->AnnouncedAt ||
                   Now - *this->AnnouncedAt >= this->Options.AnnounceRetry;
  if (this->HasLeft || (Due && !this->announced())) {
    this->AnnouncedAt = Now;
    Batch.announce(
        {this->Session, ++this->AnnounceSequence, this->Self, this->HasLeft});
  }
  if (this->Refusal)
    Batch.refuse(*this->Refusal);
  const std::uint64_t Epoch = this->State.Members.current().Epoch;
  if (this->Counters &&
      (!this->CountersSentAt || Epoch != this->CountersEpoch ||
       Now - *this->CountersSentAt >= this->Options.ObservationRetry)) {
    Batch.observe({this->Self.Node, this->Self.Start, *this->Counters});
    this->CountersSentAt = Now;
    this->CountersEpoch = Epoch;
  }
}

void SyncClient::restoreUnanswered() {
  for (const auto &[Number, Batch] : this->Unanswered)
    this->Pending.merge(Batch);
  this->Unanswered.clear();
  this->CountersSentAt.reset();
  if (!this->announced())
    this->AnnouncedAt.reset();
}

void SyncClient::restoreReport(std::uint64_t Failed, Instant Now) {
  auto Found = this->Unanswered.find(Failed);
  if (Found == this->Unanswered.end())
    return;
  this->Pending.merge(Found->second);
  this->Unanswered.erase(Found);
  this->CountersSentAt.reset();
  if (!this->announced())
    this->AnnouncedAt.reset();
  this->scheduleReport(Now + this->Selector.options().MinBackOff, Now);
}

void SyncClient::scheduleReport(Instant When, Instant Now) {
  // Without a request in flight, the next one carries the reports.
  if (!this->InFlight)
    return;
  When = std::max(When, this->LastSent + this->Options.MinReportGap);
  if (!this->ReportAt || When < *this->ReportAt)
    this->ReportAt = When;
  if (Now >= *this->ReportAt)
    this->sendReport(Now);
}

void SyncClient::finishStarting(Instant Now) {
  if (!this->Self.Starting || !this->InForceSince ||
      Now - *this->InForceSince < this->Options.RelayAfter)
    return;
  this->Self.Starting = false;
  this->AnnouncedAt.reset();
  this->scheduleReport(Now, Now);
}

void SyncClient::announce(const Member &NewSelf, Instant Now) {
  Member Next = NewSelf;
  Next.Starting = this->Self.Starting;
  if (Next == this->Self)
    return;
  this->Self = std::move(Next);
  this->AnnouncedAt.reset();
  this->scheduleReport(Now, Now);
}

void SyncClient::leave(Instant Now) {
  this->HasLeft = true;
  this->Self.Leaving = true;
  this->scheduleReport(Now, Now);
}

void SyncClient::observe(std::optional<Json> NewCounters) {
  if (NewCounters == this->Counters)
    return;
  this->Counters = std::move(NewCounters);
  this->CountersSentAt.reset();
}

void SyncClient::reportSoon(Instant Now) {
  this->scheduleReport(Now + this->Options.ObservationLinger, Now);
}

void SyncClient::addUplink(const UplinkBatch &Batch, Urgency BatchUrgency,
                           Instant Now) {
  this->Pending.merge(Batch);
  if (BatchUrgency == Urgency::Immediate)
    this->scheduleReport(Now, Now);
  else if (BatchUrgency == Urgency::Soon)
    this->scheduleReport(Now + this->Options.UplinkLinger, Now);
  else if (BatchUrgency == Urgency::Later)
    this->scheduleReport(Now + this->Options.ObservationLinger, Now);
}

bool SyncClient::announced() const {
  const std::string Key = memberKey(this->Self.Node);
  const Json *Shown = this->State.Members.find(Key);
  return Shown && *Shown == memberToJson(this->Self) &&
         this->State.Members.versionOf(Key)->Epoch ==
             this->State.Members.current().Epoch;
}

} // namespace amaranthward
