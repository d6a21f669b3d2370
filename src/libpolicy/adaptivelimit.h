#ifndef AMARANTHWARD_LIBPOLICY_ADAPTIVELIMIT_H
#define AMARANTHWARD_LIBPOLICY_ADAPTIVELIMIT_H

#include <cstdint>

namespace amaranthward {

/// Concurrency limit of a warm upstream, derived from its latency: it falls
/// while calls take longer than the warm baseline or fail, to no less than half
/// of the slots, and rises again when they do not.
class AdaptiveLimit {
public:
  explicit AdaptiveLimit(std::uint32_t Slots);

  /// Sets the limit back to all slots.
  void reset();
  /// Adds a successful call. \a LogRatio is log(latency / baseline).
  void add(double LogRatio);
  void addFailure();
  std::uint32_t limit() const { return this->Limit; }

private:
  void endWindow();

  std::uint32_t Slots;
  std::uint32_t Limit;
  /// Sum of the log ratios in the current window.
  double LogRatioSum = 0;
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
};

} // namespace amaranthward

#endif
