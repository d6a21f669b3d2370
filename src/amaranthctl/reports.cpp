#include "amaranthctl/reports.h"

#include "amaranthctl/texttable.h"
#include "libconfig/textunits.h"

namespace amaranthward {

namespace {

const Json &listAt(const Json &Object, const char *Key) {
  static const Json Empty = Json::array();
  if (!Object.is_object())
    return Empty;
  auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_array() ? *Found : Empty;
}

const Json &objectAt(const Json &Object, const char *Key) {
  static const Json Empty = Json::object();
  if (!Object.is_object())
    return Empty;
  auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_object() ? *Found : Empty;
}

std::string numberText(const Json &Object, const char *Key) {
  return std::to_string(numberAt(Object, Key));
}

std::string shareText(const Json &Object, const char *Key) {
  return formatShare(Share(static_cast<std::uint32_t>(
      std::min<std::uint64_t>(numberAt(Object, Key), Share::Whole))));
}

// Calendar time from milliseconds since the epoch; empty for 0.
std::string timeText(const Json &Object, const char *Key) {
  // The end of year 9999.
  constexpr std::uint64_t MaxMilliseconds = 253402300799999;
  std::uint64_t Value = numberAt(Object, Key);
  if (Value == 0 || Value > MaxMilliseconds)
    return "";
  return formatWallTime(
      WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(Value))));
}

std::string section(const char *Title, const TextTable &Table) {
  return Table.empty() ? "" : std::string("\n") + Title + '\n' + Table.toText();
}

} // namespace

std::string splitText(const Json &Split) {
  if (!Split.is_object())
    return Split.is_string() ? Split.get<std::string>() : "";
  std::string Text;
  for (const auto &Part : Split.items()) {
    Text += (Text.empty() ? "" : ", ") + Part.key() + ' ' +
            shareText(Split, Part.key().c_str());
  }
  return Text;
}

std::string inForceText(const Json &Status) {
  const Json &InForce = objectAt(Status, "in_force");
  return "in force on " + numberText(InForce, "nodes") + " of " +
         numberText(InForce, "of") + " nodes";
}

std::string statusReport(const Json &Status) {
  std::string Text = "version " + numberText(Status, "version") +
                     ", revision " + numberText(Status, "revision") + ", " +
                     inForceText(Status) + '\n';
  Text += "leader " + textAt(Status, "leader") + " in term " +
          numberText(Status, "term") + '\n';
  TextTable Replicas({"REPLICA", "ROLE", "MATCH"});
  for (const Json &One : listAt(Status, "replicas"))
    Replicas.addRow(
        {textAt(One, "name"), textAt(One, "role"), numberText(One, "match")});
  TextTable Services({"SERVICE", "SPLIT IN FORCE"});
  for (const Json &One : listAt(Status, "services"))
    Services.addRow({textAt(One, "name"), splitText(objectAt(One, "split"))});
  TextTable Moves(
      {"MOVE", "SERVICE", "PHASE", "FROM", "TO", "IN FORCE", "DEADLINE"});
  for (const Json &One : listAt(Status, "moves"))
    Moves.addRow(
        {textAt(One, "id"), textAt(One, "service"), textAt(One, "phase"),
         splitText(objectAt(One, "from")), splitText(objectAt(One, "to")),
         shareText(One, "share_in_force"), timeText(One, "deadline_ms")});
  return Text + section("Replicas", Replicas) + section("Services", Services) +
         section("Open moves", Moves);
}

std::string historyReport(const Json &History) {
  TextTable Sets({"VERSION", "REVISION", "ACCEPTED", "DIGEST"});
  for (const Json &One : listAt(History, "sets"))
    Sets.addRow({numberText(One, "version"), numberText(One, "revision"),
                 timeText(One, "time_ms"), textAt(One, "digest")});
  return Sets.toText();
}

std::string moveLine(const Json &Event) {
  std::string Reason = textAt(Event, "reason");
  if (Reason == "none")
    Reason.clear();
  return timeText(Event, "time_ms") + ' ' + textAt(Event, "id") + ' ' +
         textAt(Event, "service") + ' ' + textAt(Event, "phase") + ' ' +
         shareText(Event, "share") +
         (Reason.empty() ? "" : " (" + Reason + ')');
}

std::string findingsReport(const Json &Body, const std::string &FileName) {
  Findings All;
  for (const Json &One : listAt(Body, "findings")) {
    Severity Level = textAt(One, "severity") == "warning" ? Severity::Warning
                                                          : Severity::Error;
    All.push_back({Level,
                   {FileName, static_cast<int>(numberAt(One, "line")),
                    static_cast<int>(numberAt(One, "column"))},
                   textAt(One, "message"),
                   textAt(One, "remedy")});
  }
  return findingsReport(All);
}

std::string findingsReport(const Findings &All) {
  std::string Text;
  for (const Finding &One : All)
    Text += toString(One) + '\n';
  return Text;
}

Json findingsJson(const Findings &All) {
  Json List = Json::array();
  for (const Finding &One : All)
    List.push_back(
        {{"severity", One.Level == Severity::Error ? "error" : "warning"},
         {"file", One.Where.File},
         {"line", One.Where.Line},
         {"column", One.Where.Column},
         {"message", One.Message},
         {"remedy", One.Remedy}});
  return List;
}

} // namespace amaranthward
