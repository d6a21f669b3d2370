#ifndef AMARANTHWARD_AMARANTHCTL_SHOWHISTORY_H
#define AMARANTHWARD_AMARANTHCTL_SHOWHISTORY_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Lists the accepted sets.
class ShowHistory {
public:
  static constexpr const char *Verb = "history";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
