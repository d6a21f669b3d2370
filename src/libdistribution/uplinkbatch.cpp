#include "libdistribution/uplinkbatch.h"

#include "libdistribution/membercodec.h"
#include "libdistribution/messagefields.h"
#include <algorithm>

namespace amaranthward {

namespace {

constexpr int SessionBits = 53;

Result<void> malformedEntry(const char *EntryKind) {
  return fail(ErrorCode::InvalidArgument,
              std::string("malformed ") + EntryKind);
}

Result<void> readRenewals(const Json &Group, UplinkBatch &Batch, Instant Now) {
  if (!Group.is_array() || Group.size() != 2 ||
      !Group[0].is_number_unsigned() || !Group[1].is_array())
    return malformedEntry("renewals");
  for (const Json &Session : Group[1]) {
    if (!Session.is_number_unsigned())
      return malformedEntry("renewals");
    Batch.renew(SessionId(Session.get<std::uint64_t>()),
                Revision(Group[0].get<std::uint64_t>()), Now);
  }
  return {};
}

Result<void> readAnnouncement(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "announcement");
  Announcement Decoded;
  Decoded.Session = SessionId(Fields.number("s"));
  Decoded.Sequence = Fields.number("q");
  const Json *MemberValue = Fields.find("m");
  Decoded.Announced = Fields.take(memberFromJson(
      NodeName(Fields.text("n")), MemberValue ? *MemberValue : Json()));
  Decoded.EndsSession = Fields.flag("g");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.announce(Decoded);
  return {};
}

Result<void> readObservation(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "observation");
  ReporterCounters Decoded;
  Decoded.Reporter = NodeName(Fields.text("n"));
  Decoded.Start = Incarnation(Fields.number("i"));
  if (const Json *Counters = Fields.find("c"))
    Decoded.Counters = *Counters;
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.observe(Decoded);
  return {};
}

Result<void> readRefusal(const Json &Value, UplinkBatch &Batch) {
  MessageFields Fields(Value, "refusal");
  RefusedRevision Decoded;
  Decoded.Node = NodeName(Fields.text("n"));
  Decoded.Refused = Revision(Fields.number("r"));
  Decoded.Reason = Fields.text("w");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  Batch.refuse(Decoded);
  return {};
}

} // namespace

SessionId randomSession(const RandomFunction &Random) {
  return SessionId(Random() >> (64 - SessionBits));
}

void UplinkBatch::renew(SessionId Session, Revision InForce, Instant Received) {
  Renewal &Stored = this->Renewals[Session];
  Stored.InForce = std::max(Stored.InForce, InForce);
  Stored.Received = std::max(Stored.Received, Received);
}

void UplinkBatch::announce(const Announcement &Received) {
  auto [Found, Added] =
      this->Announcements.try_emplace(Received.Announced.Node, Received);
  if (Added)
    return;
  const bool SameProcess =
      Found->second.Announced.Start == Received.Announced.Start;
  if (!SameProcess || Found->second.Sequence < Received.Sequence)
    Found->second = Received;
}

void UplinkBatch::observe(const ReporterCounters &Received) {
  this->Observations.insert_or_assign(Received.Reporter, Received);
}

void UplinkBatch::refuse(const RefusedRevision &Received) {
  auto [Found, Added] = this->Refusals.try_emplace(Received.Node, Received);
  if (!Added && Found->second.Refused < Received.Refused)
    Found->second = Received;
}

void UplinkBatch::merge(const UplinkBatch &Other) {
  for (const auto &[Session, Latest] : Other.Renewals)
    this->renew(Session, Latest.InForce, Latest.Received);
  for (const auto &[Node, Latest] : Other.Announcements)
    this->announce(Latest);
  for (const auto &[Node, Latest] : Other.Observations)
    this->observe(Latest);
  for (const auto &[Node, Latest] : Other.Refusals)
    this->refuse(Latest);
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
  for (const auto &[Session, Latest] : Batch.renewals())
    Groups[Latest.InForce].push_back(Session.value());
  for (auto &[InForce, Sessions] : Groups)
    Value["r"].push_back(Json::array({InForce.value(), std::move(Sessions)}));
  for (const auto &[Node, Latest] : Batch.announcements()) {
    Json Entry = {{"s", Latest.Session.value()},
                  {"q", Latest.Sequence},
                  {"n", Node.str()},
                  {"m", memberToJson(Latest.Announced)}};
    if (Latest.EndsSession)
      Entry["g"] = true;
    Value["a"].push_back(std::move(Entry));
  }
  for (const auto &[Node, Latest] : Batch.observations())
    Value["o"].push_back({{"n", Node.str()},
                          {"i", Latest.Start.value()},
                          {"c", Latest.Counters}});
  for (const auto &[Node, Latest] : Batch.refusals())
    Value["x"].push_back({{"n", Node.str()},
                          {"r", Latest.Refused.value()},
                          {"w", Latest.Reason}});
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
        Fields.recordError(Done.error().Message);
  };
  ReadAll("r", [Now](const Json &Entry, UplinkBatch &Target) {
    return readRenewals(Entry, Target, Now);
  });
  ReadAll("a", readAnnouncement);
  ReadAll("o", readObservation);
  ReadAll("x", readRefusal);
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Batch;
}

} // namespace amaranthward
