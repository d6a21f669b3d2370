#ifndef AMARANTHWARD_AMARANTHCTL_COMMANDCONTEXT_H
#define AMARANTHWARD_AMARANTHCTL_COMMANDCONTEXT_H

#include "amaranthctl/controlclient.h"
#include "amaranthctl/exitcode.h"
#include <ostream>
#include <string>
#include <vector>

namespace amaranthward {

struct CommandOptions {
  /// JSON for programs instead of text for people.
  bool AsJson = false;
  bool Follow = false;
  bool FollowMoves = false;
  bool NoWait = false;
  /// Longest wait for an answer, and for a set to be in force.
  Duration Timeout = std::chrono::seconds(60);
  /// Words after the verb.
  std::vector<std::string> Arguments;
};

/// What a command works with.
struct CommandContext {
  CommandOptions Options;
  std::vector<Endpoint> Control;
  ControlClient::Hooks Hooks;
  WallClockFunction Wall;
  std::ostream &Out;
  std::ostream &Err;

  /// Prints the problem when there are no control replicas.
  Result<ControlClient> client();
  ExitCode report(ExitCode Code, const std::string &Problem);
  /// Fetches one document from the control replicas; on failure prints the
  /// problem and returns the exit code.
  tl::expected<Json, ExitCode> fetch(const std::string &Target);
};

/// The whole file. Fails with Io when it cannot be read.
Result<std::string> readWholeFile(const std::string &Name);

} // namespace amaranthward

#endif
