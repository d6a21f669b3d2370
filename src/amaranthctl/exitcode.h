#ifndef AMARANTHWARD_AMARANTHCTL_EXITCODE_H
#define AMARANTHWARD_AMARANTHCTL_EXITCODE_H

namespace amaranthward {

/// Exit status of amaranthctl; the numbers are part of its interface.
enum class ExitCode {
  Ok = 0,
  /// The set was refused or is in conflict, a followed move was rolled back,
  /// or nothing was found.
  Refused = 1,
  InvalidInput = 2,
  NoReplica = 3,
  TimedOut = 4,
};

} // namespace amaranthward

#endif
