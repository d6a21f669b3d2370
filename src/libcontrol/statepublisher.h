#ifndef AMARANTHWARD_LIBCONTROL_STATEPUBLISHER_H
#define AMARANTHWARD_LIBCONTROL_STATEPUBLISHER_H

#include "libcontrol/controldata.h"
#include "libdistribution/distributedstate.h"

namespace amaranthward {

/// Copies the replicated state to the resource table that nodes receive.
class StatePublisher {
public:
  static Result<StatePublisher> create();

  /// Publishes the resources that differ from the table, as revision
  /// \a Data.Changed. Returns false when that revision is published already or
  /// the table refuses the change.
  bool publish(const ControlData &Data);
  /// Replaces the table with a snapshot of the whole state. For use after a
  /// restored snapshot, which does not tell which keys were removed before it.
  void publishSnapshot(const ControlData &Data);

  DistributedState &state() { return this->State; }
  const DistributedState &state() const { return this->State; }

private:
  explicit StatePublisher(DistributedState State) : State(std::move(State)) {}

  DistributedState State;
};

} // namespace amaranthward

#endif
