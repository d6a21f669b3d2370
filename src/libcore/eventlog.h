#ifndef AMARANTHWARD_LIBCORE_EVENTLOG_H
#define AMARANTHWARD_LIBCORE_EVENTLOG_H

#include "libcore/log.h"
#include "libcore/units.h"
#include <concepts>
#include <string_view>

namespace amaranthward {

/// Fields of one structured log line, written as members of a JSON object.
/// Names are literals without characters that JSON escapes.
class LogFields {
public:
  LogFields &add(std::string_view Name, std::string_view Value);
  LogFields &add(std::string_view Name, const char *Value) {
    return this->add(Name, std::string_view(Value));
  }
  LogFields &add(std::string_view Name, bool Value);
  template <std::integral Number>
  LogFields &add(std::string_view Name, Number Value) {
    this->name(Name).append(std::to_string(Value));
    return *this;
  }
  /// In milliseconds with one decimal; the name ends with _ms.
  LogFields &add(std::string_view Name, Duration Value);

  /// Without the braces of the object.
  const std::string &text() const { return this->Text; }

private:
  std::string &name(std::string_view Name);

  std::string Text;
};

/// Writes one line for \a Event of \a Part. Lines of one event beyond 200 a
/// second are counted and reported as one line with event "suppressed".
void logEvent(const std::string &Part, const std::string &Event,
              const LogFields &Fields, Instant Now);

/// Reports suppressed and dropped lines of seconds that are over, and writes
/// what standard output takes without waiting. Called after each turn of the
/// event loop.
void flushLog(Instant Now);

} // namespace amaranthward

#endif
