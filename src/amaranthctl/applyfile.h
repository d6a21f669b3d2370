#ifndef AMARANTHWARD_AMARANTHCTL_APPLYFILE_H
#define AMARANTHWARD_AMARANTHCTL_APPLYFILE_H

#include "amaranthctl/commandcontext.h"
#include <optional>

namespace amaranthward {

/// Submits a configuration set, waits until it is in force everywhere and, on
/// request, until its moves have ended.
class ApplyFile {
public:
  static constexpr const char *Verb = "apply";

  static ExitCode run(CommandContext &Context);

  static constexpr Duration PollInterval = std::chrono::milliseconds(200);

private:
  ApplyFile(CommandContext &Context, ControlClient Client, std::string File)
      : Context(Context), Client(std::move(Client)), File(std::move(File)) {}

  ExitCode submit(const std::string &Text, const std::string &Digest);
  ExitCode explainRefusal(const ControlAnswer &Answer,
                          const std::string &Digest);
  ExitCode awaitInForce();
  void noteNewerSet(const Json &Status);
  ExitCode awaitMoves();
  ExitCode noReplica(const std::string &Problem);
  std::optional<Json> get(const std::string &Target);
  void progress(const std::string &Line);
  /// Time at which the set was accepted, in milliseconds since the epoch.
  std::uint64_t acceptedAt();

  CommandContext &Context;
  ControlClient Client;
  std::string File;
  std::uint64_t Version = 0;
  std::uint64_t Revision = 0;
  Json Report = Json::object();
  std::string LastProgress;
};

} // namespace amaranthward

#endif
