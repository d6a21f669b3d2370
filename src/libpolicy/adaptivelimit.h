#ifndef AMARANTHWARD_LIBPOLICY_ADAPTIVELIMIT_H
#define AMARANTHWARD_LIBPOLICY_ADAPTIVELIMIT_H

#include <cstdint>

namespace amaranthward {

/// Limit of a warm upstream from its latency: lower while calls take longer
/// than the warm baseline, up again when they do not.
class AdaptiveLimit {
public:
  explicit AdaptiveLimit(std::uint32_t Slots);

  void reset();
  /// \a LogRatio is log(latency / baseline) of a completed call.
  void add(double LogRatio);
  void addFailure();
  std::uint32_t limit() const { return this->Limit; }

private:
  void endWindow();

  std::uint32_t Slots;
  std::uint32_t Limit;
  double Sum = 0;
  std::uint32_t Count = 0;
  std::uint32_t Failures = 0;
};

} // namespace amaranthward

#endif
