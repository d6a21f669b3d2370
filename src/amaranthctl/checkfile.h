#ifndef AMARANTHWARD_AMARANTHCTL_CHECKFILE_H
#define AMARANTHWARD_AMARANTHCTL_CHECKFILE_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Checks a configuration set without contact to a replica.
class CheckFile {
public:
  static constexpr const char *Verb = "check";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
