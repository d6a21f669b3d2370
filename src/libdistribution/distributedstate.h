#ifndef AMARANTHWARD_LIBDISTRIBUTION_DISTRIBUTEDSTATE_H
#define AMARANTHWARD_LIBDISTRIBUTION_DISTRIBUTEDSTATE_H

#include "libdistribution/resourcetable.h"

namespace amaranthward {

/// The replicated resources and the member table that a process has in force
/// and serves to its children.
struct DistributedState {
  static Result<DistributedState> create(TableLimits Limits = {});

  Revision inForce() const { return this->Replicated.current().revision(); }

  /// Empty until the process has received replicated state.
  ClusterId Cluster;
  ResourceTable Replicated;
  ResourceTable Members;
};

} // namespace amaranthward

#endif
