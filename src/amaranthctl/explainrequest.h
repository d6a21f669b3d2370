#ifndef AMARANTHWARD_AMARANTHCTL_EXPLAINREQUEST_H
#define AMARANTHWARD_AMARANTHCTL_EXPLAINREQUEST_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Prints the log lines about one request from the logs of several processes,
/// ordered by the time of day that each process had.
class ExplainRequest {
public:
  static constexpr const char *Verb = "explain";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
