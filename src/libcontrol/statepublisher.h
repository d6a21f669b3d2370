#ifndef AMARANTHWARD_LIBCONTROL_STATEPUBLISHER_H
#define AMARANTHWARD_LIBCONTROL_STATEPUBLISHER_H

#include "libcontrol/controldata.h"
#include "libdistribution/distributedstate.h"

namespace amaranthward {

/// Keeps the table of distributed resources equal to the replicated state.
class StatePublisher {
public:
  static Result<StatePublisher> create();

  /// Publishes the difference that the record \a Data.Changed made. Returns
  /// false when the newest record changed no resource.
  bool publish(const ControlData &Data);
  /// Publishes the whole state as a snapshot, because the keys that were
  /// removed before it are not known.
  void publishWhole(const ControlData &Data);

  DistributedState &state() { return this->State; }
  const DistributedState &state() const { return this->State; }

private:
  explicit StatePublisher(DistributedState State) : State(std::move(State)) {}

  DistributedState State;
};

} // namespace amaranthward

#endif
