#include "libcore/eventlog.h"

#include "libcore/boundedsink.h"
#include "libcore/eventlimiter.h"
#include "libcore/json.h"
#include <algorithm>
#include <fmt/format.h>

namespace amaranthward {

namespace {

/// Bounds the volume: a line has about 300 bytes, so an event writes at most
/// 60 KB/s.
constexpr std::uint32_t MostLinesPerSecond = 200;

EventLimiter &limiter() {
  static EventLimiter Limiter(MostLinesPerSecond);
  return Limiter;
}

/// Whether \a Value needs no escapes as a JSON string.
bool isPlain(std::string_view Value) {
  return std::all_of(Value.begin(), Value.end(), [](unsigned char Each) {
    return Each >= 0x20 && Each < 0x7f && Each != '"' && Each != '\\';
  });
}

void write(const std::string &Part, std::string_view Event,
           const LogFields &Fields) {
  LogFields Line;
  Line.add("event", Event);
  std::string Text = Line.text();
  if (!Fields.text().empty())
    Text.append(",").append(Fields.text());
  logFor(Part)->log(spdlog::source_loc{"", 0, StructuredMark},
                    spdlog::level::info, Text);
}

} // namespace

std::string &LogFields::name(std::string_view Name) {
  if (!this->Text.empty())
    this->Text.push_back(',');
  return this->Text.append("\"").append(Name).append("\":");
}

LogFields &LogFields::add(std::string_view Name, std::string_view Value) {
  std::string &Out = this->name(Name);
  if (isPlain(Value))
    Out.append("\"").append(Value).append("\"");
  else
    Out.append(dumpJson(Json(std::string(Value))));
  return *this;
}

LogFields &LogFields::add(std::string_view Name, bool Value) {
  this->name(Name).append(Value ? "true" : "false");
  return *this;
}

LogFields &LogFields::add(std::string_view Name, Duration Value) {
  std::chrono::duration<double, std::milli> Millis = Value;
  this->name(Name).append(fmt::format("{:.1f}", Millis.count()));
  return *this;
}

void logEvent(const std::string &Part, const std::string &Event,
              const LogFields &Fields, Instant Now) {
  if (limiter().admit(Event, Now))
    write(Part, Event, Fields);
}

void flushLog(Instant Now) {
  for (const EventLimiter::Suppressed &Each : limiter().takeSuppressed(Now))
    write("log", "suppressed",
          LogFields().add("of", Each.Event).add("lines", Each.Lines));
  BoundedSink &Sink = standardSink();
  if (std::uint64_t Lines = Sink.takeDropped())
    write("log", "dropped", LogFields().add("lines", Lines));
  Sink.writeWaiting();
}

} // namespace amaranthward
