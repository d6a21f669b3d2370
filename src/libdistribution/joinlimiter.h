#ifndef AMARANTHWARD_LIBDISTRIBUTION_JOINLIMITER_H
#define AMARANTHWARD_LIBDISTRIBUTION_JOINLIMITER_H

#include "libcore/units.h"
#include <cstdint>
#include <optional>

namespace amaranthward {

struct JoinLimiterOptions {
  std::uint32_t JoinsPerSecond = 200;
  /// Longest time that a refused child is told to wait.
  Duration MaxRetryAfter = std::chrono::seconds(30);
};

/// Admits new children at a bounded rate.
class JoinLimiter {
public:
  explicit JoinLimiter(JoinLimiterOptions Options) : Options(Options) {}

  /// Absent when admitted, else the time after which the child should retry.
  /// Waiting children are spread over the time that admitting all of them
  /// takes.
  std::optional<Duration> admit(Instant Now, const RandomFunction &Random);

private:
  JoinLimiterOptions Options;
  Instant WindowStart;
  std::uint32_t Admitted = 0;
  std::uint64_t Waiting = 0;
  bool Started = false;
};

} // namespace amaranthward

#endif
