#include "amaranthward/controlprocess.h"
#include "amaranthward/nodeprocess.h"
#include "libcore/finding.h"
#include "libcore/log.h"
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "YAML file with the settings of this process");

namespace {

using namespace amaranthward;

constexpr int ExitFailure = 1;
constexpr int ExitInvalidInput = 2;

/// Interval at which the flags set by signal handlers are checked.
constexpr Duration SignalCheckInterval = std::chrono::milliseconds(20);
/// Interval at which the settings file is checked for a change without SIGHUP;
/// a change must take effect within 2 s.
constexpr Duration FileCheckInterval = std::chrono::seconds(1);

volatile std::sig_atomic_t StopRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;

void requestStop(int) { StopRequested = 1; }
void requestReload(int) { ReloadRequested = 1; }

void installSignalHandlers() {
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
  std::signal(SIGHUP, requestReload);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<std::string> readFile(const std::string &Name) {
  std::ifstream In(Name);
  if (!In)
    return std::nullopt;
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

template <typename Settings>
using SettingsReader = SettingsOutcome<Settings> (*)(const std::string &Text,
                                                     const std::string &File);

/// Reads the settings file again and applies it when its text has changed or
/// \a Requested is set. Settings with errors are logged and not applied.
template <typename Process, typename Settings>
void reload(Process &Running, SettingsReader<Settings> Reader,
            std::string &LastText, bool Requested) {
  auto Text = readFile(FLAGS_settings);
  if (!Text) {
    logFor("main")->error(
        "Settings file \"{}\" cannot be read; keeping the current settings.",
        FLAGS_settings);
    return;
  }
  if (!Requested && *Text == LastText)
    return;
  LastText = *Text;
  SettingsOutcome<Settings> Read = Reader(*Text, FLAGS_settings);
  for (const Finding &Problem : Read.All)
    logFor("main")->warn("{}", toString(Problem));
  if (!Read.Settings)
    return;
  Running.reload(*Read.Settings);
  logFor("main")->info("Settings reloaded.");
}

template <typename Process, typename Settings>
int runProcess(std::string Text, SettingsReader<Settings> Reader) {
  installSignalHandlers();
  SettingsOutcome<Settings> Read = Reader(Text, FLAGS_settings);
  for (const Finding &Problem : Read.All)
    std::cerr << toString(Problem) << '\n';
  if (!Read.Settings)
    return ExitInvalidInput;
  configureLogging(Read.Settings->Log);
  auto Loop = EventLoop::create();
  if (!Loop) {
    std::cerr << "amaranthward: " << Loop.error().Message << '\n';
    return ExitFailure;
  }
  auto Running = Process::create(**Loop, *Read.Settings);
  if (!Running) {
    std::cerr << "amaranthward: " << Running.error().Message << '\n';
    return ExitFailure;
  }
  (*Loop)->every(SignalCheckInterval, [&Running, &Text, Reader] {
    if (StopRequested)
      (*Running)->beginStop();
    if (ReloadRequested) {
      ReloadRequested = 0;
      reload(**Running, Reader, Text, /*Requested=*/true);
    }
  });
  (*Loop)->every(FileCheckInterval, [&Running, &Text, Reader] {
    reload(**Running, Reader, Text, /*Requested=*/false);
  });
  (*Loop)->run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("amaranthward node|control --settings=FILE\n"
                          "  exit status: 0 stopped as planned, 1 failure, "
                          "2 invalid settings");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::string Role = Argc == 2 ? Argv[1] : "";
  if (Role != "node" && Role != "control") {
    std::cerr << gflags::ProgramUsage() << '\n';
    return ExitInvalidInput;
  }
  auto Text = readFile(FLAGS_settings);
  if (!Text) {
    std::cerr << "amaranthward: cannot read settings file \"" << FLAGS_settings
              << "\"\n";
    return ExitInvalidInput;
  }
  if (Role == "control")
    return runProcess<ControlProcess, ControlSettings>(std::move(*Text),
                                                       readControlSettings);
  return runProcess<NodeProcess, NodeSettings>(std::move(*Text),
                                               readNodeSettings);
}
