#include "libdistribution/distributedstate.h"

namespace amaranthward {

Result<DistributedState> DistributedState::create(TableLimits Limits) {
  auto Replicated = ResourceTable::create(Limits);
  auto Members = ResourceTable::create(Limits);
  if (!Replicated)
    return tl::make_unexpected(Replicated.error());
  return DistributedState{ClusterId(), std::move(*Replicated),
                          std::move(*Members)};
}

} // namespace amaranthward
