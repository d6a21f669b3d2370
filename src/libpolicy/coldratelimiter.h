#ifndef AMARANTHWARD_LIBPOLICY_COLDRATELIMITER_H
#define AMARANTHWARD_LIBPOLICY_COLDRATELIMITER_H

#include "libcore/units.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace amaranthward {

/// Bounds the calls that a cold upstream gets in any sliding window of one
/// second, exactly. For upstreams that declare how long they stay cold and
/// which rate they can handle.
class ColdRateLimiter {
public:
  /// \param StartsKnownSince time since which all starts are recorded. Those of
  /// the second before are unknown and count as the whole bound.
  explicit ColdRateLimiter(Instant StartsKnownSince)
      : StartsKnownSince(StartsKnownSince) {}

  /// Sets that the upstream is cold for \a ColdFor from now (zero when it is
  /// warm) and takes \a CallsPerSecond until then; 0 for no bound. A fraction
  /// is rounded down, to no less than one call.
  void declare(Duration ColdFor, double CallsPerSecond, Instant Now);
  /// Whether a bound was declared.
  bool isDeclared() const { return this->MaxStartsPerSecond > 0; }
  bool isCold(Instant Now) const { return Now < this->ColdUntil; }
  /// Whether a call may start now.
  bool mayStart(Instant Now) const;
  /// Records a start; to be called for starts at a warm upstream, too.
  void recordStart(Instant Now);
  /// Earliest time at which a call may start; none when it may start now.
  std::optional<Instant> nextStart(Instant Now) const;

private:
  /// 0 for no bound.
  std::uint32_t MaxStartsPerSecond = 0;
  Instant StartsKnownSince;
  Instant ColdUntil;
  /// Starts of the last second, oldest first.
  std::deque<Instant> Recent;
};

} // namespace amaranthward

#endif
