#ifndef AMARANTHWARD_LIBPOLICY_WEIGHTEDROUNDROBIN_H
#define AMARANTHWARD_LIBPOLICY_WEIGHTEDROUNDROBIN_H

#include <cstddef>
#include <optional>
#include <vector>

namespace amaranthward {

/// Smooth weighted round robin: after any number of draws, each item was drawn
/// in proportion to its weight, to within one draw. Random draws would deviate
/// more over the few calls of one node.
class WeightedRoundRobin {
public:
  /// Draws the next item. Starts anew when the weights differ from those of the
  /// last call.
  /// \return index into \a Weights; none when no weight is positive.
  std::optional<std::size_t> next(const std::vector<double> &Weights);

private:
  std::vector<double> Weights;
  /// Accumulated weight of each item; the draw takes the highest.
  std::vector<double> Credit;
};

} // namespace amaranthward

#endif
