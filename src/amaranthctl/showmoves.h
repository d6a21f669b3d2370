#ifndef AMARANTHWARD_AMARANTHCTL_SHOWMOVES_H
#define AMARANTHWARD_AMARANTHCTL_SHOWMOVES_H

#include "amaranthctl/commandcontext.h"

namespace amaranthward {

/// Shows move events, and new ones as they happen.
class ShowMoves {
public:
  static constexpr const char *Verb = "moves";

  static ExitCode run(CommandContext &Context);
};

} // namespace amaranthward

#endif
