#include "libdistribution/uplinkbatch.h"

#include "libdistribution/membercodec.h"
#include "libdistribution/messagefields.h"
#include <algorithm>

namespace amaranthward {

namespace {

constexpr int SessionBits = 53;

Result<void> malformed(const char *What) {
  return fail(ErrorCode::InvalidArgument, std::string("malformed ") + What);
}

Result<void> readRenewals(const Json &Group, UplinkBatch &Batch, Instant Now) {
  if (!Group.is_array() || Group.size() != 2 ||
      !Group[0].is_number_unsigned() || !Group[1].is_array())
    return malformed("renewals");
  for (const Json &Session : Group[1]) {
    if (!Session.is_number_unsigned())
      return malformed("renewals");
    Batch.renew(SessionId(Session.get<std::uint64_t>()),
                Revision(Group[0].get<std::uint64_t>()), Now);
  }
  return {};
}

Result<void> readAnnouncement(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "announcement");
  Announcement One;
  One.Session = SessionId(Fields.number("s"));
  One.Sequence = Fields.number("q");
  const Json *Subject = Fields.find("m");
  One.Subject = Fields.take(
      memberFromJson(NodeName(Fields.text("n")), Subject ? *Subject : Json()));
  One.Gone = Fields.flag("g");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.announce(One);
  return {};
}

Result<void> readObservation(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "observation");
  ReporterCounters One;
  One.Reporter = NodeName(Fields.text("n"));
  One.Start = Incarnation(Fields.number("i"));
  if (const Json *Counters = Fields.find("c"))
    One.Counters = *Counters;
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.observe(One);
  return {};
}

Result<void> readRefusal(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "refusal");
  RefusedRevision One;
  One.Node = NodeName(Fields.text("n"));
  One.Refused = Revision(Fields.number("r"));
  One.Reason = Fields.text("w");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.refuse(One);
  return {};
}

} // namespace

SessionId randomSession(const RandomFunction &Random) {
  return SessionId(Random() >> (64 - SessionBits));
}

void UplinkBatch::renew(SessionId Session, Revision InForce, Instant Received) {
  Renewal &One = this->Renewals[Session];
  One.InForce = std::max(One.InForce, InForce);
  One.Received = std::max(One.Received, Received);
}

void UplinkBatch::announce(const Announcement &Subject) {
  auto [Found, Added] =
      this->Announcements.try_emplace(Subject.Subject.Node, Subject);
  if (Added)
    return;
  const bool SameProcess = Found->second.Subject.Start == Subject.Subject.Start;
  if (!SameProcess || Found->second.Sequence < Subject.Sequence)
    Found->second = Subject;
}

void UplinkBatch::observe(const ReporterCounters &Subject) {
  this->Observations.insert_or_assign(Subject.Reporter, Subject);
}

void UplinkBatch::refuse(const RefusedRevision &Subject) {
  auto [Found, Added] = this->Refusals.try_emplace(Subject.Node, Subject);
  if (!Added && Found->second.Refused < Subject.Refused)
    Found->second = Subject;
}

void UplinkBatch::merge(const UplinkBatch &Other) {
  for (const auto &[Session, One] : Other.Renewals)
    this->renew(Session, One.InForce, One.Received);
  for (const auto &[Node, One] : Other.Announcements)
    this->announce(One);
  for (const auto &[Node, One] : Other.Observations)
    this->observe(One);
  for (const auto &[Node, One] : Other.Refusals)
    this->refuse(One);
}

void UplinkBatch::dropRenewalsBefore(Instant Oldest) {
  std::erase_if(this->Renewals, [Oldest](const auto &Entry) {
    return Entry.second.Received < Oldest;
  });
}

bool UplinkBatch::empty() const {
  return this->Renewals.empty() && this->Announcements.empty() &&
         this->Observations.empty() && this->Refusals.empty();
}

Json toJson(const UplinkBatch &Batch) {
  Json Value = Json::object();
  std::map<Revision, Json> Groups;
  for (const auto &[Session, One] : Batch.renewals())
    Groups[One.InForce].push_back(Session.value());
  for (auto &[InForce, Sessions] : Groups)
    Value["r"].push_back(Json::array({InForce.value(), std::move(Sessions)}));
  for (const auto &[Node, One] : Batch.announcements()) {
    Json Entry = {{"s", One.Session.value()},
                  {"q", One.Sequence},
                  {"n", Node.str()},
                  {"m", memberToJson(One.Subject)}};
    if (One.Gone)
      Entry["g"] = true;
    Value["a"].push_back(std::move(Entry));
  }
  for (const auto &[Node, One] : Batch.observations())
    Value["o"].push_back(
        {{"n", Node.str()}, {"i", One.Start.value()}, {"c", One.Counters}});
  for (const auto &[Node, One] : Batch.refusals())
    Value["x"].push_back(
        {{"n", Node.str()}, {"r", One.Refused.value()}, {"w", One.Reason}});
  return Value;
}

Result<UplinkBatch> uplinkBatchFromJson(const Json &Value, Instant Now) {
  MessageFields Fields(Value, "uplink");
  UplinkBatch Batch;
  auto ReadAll = [&Fields, &Batch](const char *Key, auto Read) {
    const Json *Entries = Fields.array(Key);
    if (!Entries)
      return;
    for (const Json &Entry : *Entries)
      if (auto Done = Read(Entry, Batch); !Done)
        Fields.fault(Done.error().Message);
  };
  ReadAll("r", [Now](const Json &Entry, UplinkBatch &Into) {
    return readRenewals(Entry, Into, Now);
  });
  ReadAll("a", readAnnouncement);
  ReadAll("o", readObservation);
  ReadAll("x", readRefusal);
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Batch;
}

} // namespace amaranthward
