#include "libpolicy/weightedroundrobin.h"

namespace amaranthward {

std::optional<std::size_t>
WeightedRoundRobin::next(const std::vector<double> &NewWeights) {
  if (NewWeights != this->Weights) {
    this->Weights = NewWeights;
    this->Credit.assign(NewWeights.size(), 0);
  }
  double Sum = 0;
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < NewWeights.size(); ++I) {
    if (NewWeights[I] <= 0)
      continue;
    Sum += NewWeights[I];
    this->Credit[I] += NewWeights[I];
    if (!Best || this->Credit[I] > this->Credit[*Best])
      Best = I;
  }
  if (Best)
    this->Credit[*Best] -= Sum;
  return Best;
}

} // namespace amaranthward
