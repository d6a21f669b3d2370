#ifndef AMARANTHWARD_AMARANTHCTL_SHOWSTATUS_H
#define AMARANTHWARD_AMARANTHCTL_SHOWSTATUS_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Shows the state of the cluster, splits and open moves.
class ShowStatus {
public:
  static constexpr const char *Verb = "status";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
