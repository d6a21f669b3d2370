#include "amaranthward/controlprocess.h"
#include "amaranthward/nodeprocess.h"
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

constexpr Duration SignalCheckInterval = std::chrono::milliseconds(20);

volatile std::sig_atomic_t StopRequested = 0;

void requestStop(int) { StopRequested = 1; }

void catchStopSignals() {
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
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

template <typename Process, typename Settings>
int runProcess(const SettingsOutcome<Settings> &Read) {
  for (const Finding &One : Read.All)
    std::cerr << toString(One) << '\n';
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
  catchStopSignals();
  (*Loop)->every(SignalCheckInterval, [&Running] {
    if (StopRequested)
      (*Running)->beginStop();
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
    return runProcess<ControlProcess>(
        readControlSettings(*Text, FLAGS_settings));
  return runProcess<NodeProcess>(readNodeSettings(*Text, FLAGS_settings));
}
