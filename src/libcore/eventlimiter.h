#ifndef AMARANTHWARD_LIBCORE_EVENTLIMITER_H
#define AMARANTHWARD_LIBCORE_EVENTLIMITER_H

#include "libcore/units.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthward {

/// Bounds the lines of each event by itself, so that frequent events never
/// crowd out rare ones.
class EventLimiter {
public:
  struct Suppressed {
    std::string Event;
    std::uint64_t Lines = 0;
  };

  /// \param LinesPerSecond lines of one event in any second of the clock.
  explicit EventLimiter(std::uint32_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond) {}

  bool admit(const std::string &Event, Instant Now);
  /// The lines that were not admitted in seconds that are over.
  std::vector<Suppressed> takeSuppressed(Instant Now);

private:
  struct Count {
    std::uint64_t Admitted = 0;
    std::uint64_t Suppressed = 0;
  };

  void startSecond(Instant Now);

  std::uint32_t LinesPerSecond;
  std::int64_t Second = -1;
  std::map<std::string, Count> Counts;
  std::vector<Suppressed> Over;
};

} // namespace amaranthward

#endif
