#ifndef AMARANTHWARD_LIBDISTRIBUTION_JOINLIMITER_H
#define AMARANTHWARD_LIBDISTRIBUTION_JOINLIMITER_H

#include "libcore/units.h"
#include <cstdint>
#include <optional>

namespace amaranthward {

struct JoinLimiterOptions {
  std::uint32_t JoinsPerSecond = 200;
  /// Upper bound on the retry time that a refused child is given.
  Duration MaxRetryAfter = std::chrono::seconds(30);
};

/// Limits how many new children a parent admits per second, so that a mass
/// reconnect does not overload it.
class JoinLimiter {
public:
  explicit JoinLimiter(JoinLimiterOptions Options) : Options(Options) {}

  /// Returns no value when the child is admitted, otherwise the time after
  /// which it should retry. Retries are spread over the time that it takes to
  /// admit all refused children at the configured rate.
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
