#ifndef AMARANTHWARD_AMARANTHCTL_DUMPPROCESS_H
#define AMARANTHWARD_AMARANTHCTL_DUMPPROCESS_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Prints the complete state of one process.
class DumpProcess {
public:
  static constexpr const char *Verb = "dump";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
