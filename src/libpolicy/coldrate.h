#ifndef AMARANTHWARD_LIBPOLICY_COLDRATE_H
#define AMARANTHWARD_LIBPOLICY_COLDRATE_H

#include "libcore/units.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace amaranthward {

/// Exact bound on the calls that a cold upstream gets in any sliding second.
/// For upstreams that declare how long they are cold and what they can take.
class ColdRate {
public:
  /// \param KnownSince what was sent in the second before is unknown and counts
  /// as the whole bound.
  explicit ColdRate(Instant KnownSince) : KnownSince(KnownSince) {}

  /// The upstream is cold for \a For from now, zero when it is warm, and then
  /// takes \a CallsPerSecond; 0 for no bound.
  void declare(Duration For, double CallsPerSecond, Instant Now);
  /// Whether a bound was declared.
  bool isDeclared() const { return this->Bound > 0; }
  bool isCold(Instant Now) const { return Now < this->ColdUntil; }
  bool mayStart(Instant Now) const;
  void started(Instant Now);
  /// When a call may start that may not start now.
  std::optional<Instant> nextStart(Instant Now) const;

private:
  std::uint32_t Bound = 0;
  Instant KnownSince;
  Instant ColdUntil;
  /// Starts of the last second, oldest first.
  std::deque<Instant> Recent;
};

} // namespace amaranthward

#endif
