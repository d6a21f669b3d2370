#include "libcontrol/statepublisher.h"

namespace amaranthward {

namespace {

std::vector<ResourceChange> difference(const ResourceMap &Before,
                                       const ResourceMap &After) {
  std::vector<ResourceChange> Changes;
  for (const auto &[Key, Value] : After) {
    auto Old = Before.find(Key);
    if (Old == Before.end() || Old->second != Value)
      Changes.push_back({Key, Value});
  }
  for (const auto &[Key, Value] : Before) {
    if (After.find(Key) == After.end())
      Changes.push_back({Key, std::nullopt});
  }
  return Changes;
}

} // namespace

Result<StatePublisher> StatePublisher::create() {
  auto State = DistributedState::create();
  if (!State)
    return tl::make_unexpected(State.error());
  return StatePublisher(std::move(*State));
}

bool StatePublisher::publish(const ControlData &Data) {
  TableVersion Version = TableVersion::of(Data.Changed);
  if (Version <= this->State.Replicated.current())
    return false;
  auto Changes =
      difference(this->State.Replicated.resources(), Data.resources());
  return this->State.Replicated.apply(Changes, Version).has_value();
}

void StatePublisher::publishSnapshot(const ControlData &Data) {
  TableVersion Version = TableVersion::of(Data.Changed);
  std::vector<VersionedChange> All;
  for (auto &[Key, Value] : Data.resources())
    All.push_back({Version, Key, Value});
  (void)this->State.Replicated.install(/*Snapshot=*/true,
                                       /*CompleteTable=*/true, All, Version);
}

} // namespace amaranthward
