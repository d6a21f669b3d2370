#include "amaranthctl/applyfile.h"
#include "amaranthctl/checkfile.h"
#include "amaranthctl/dumpprocess.h"
#include "amaranthctl/explainrequest.h"
#include "amaranthctl/httpsender.h"
#include "amaranthctl/showhistory.h"
#include "amaranthctl/showmoves.h"
#include "amaranthctl/showstatus.h"
#include "libconfig/textunits.h"
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

DEFINE_string(control, "",
              "addresses IP:PORT of control replicas, with commas");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_bool(follow, false, "moves: show new events as they happen");
DEFINE_bool(follow_moves, false, "apply: wait until the moves have ended");
DEFINE_bool(no_wait, false, "apply: do not wait until the set is in force");
DEFINE_string(timeout, "60s", "longest wait for an answer or to be in force");

namespace {

using namespace amaranthward;

constexpr const char *Usage =
    "operators' tool of amaranthward\n"
    "\n"
    "  amaranthctl check FILE              check a configuration set offline\n"
    "  amaranthctl apply FILE              submit a set and wait until it is\n"
    "                                      in force\n"
    "  amaranthctl status                  leader, splits and open moves\n"
    "  amaranthctl moves [--follow]        move events\n"
    "  amaranthctl history                 accepted sets\n"
    "  amaranthctl dump ADDRESS            complete state of one process\n"
    "  amaranthctl explain ID FILE...      log lines about one request\n"
    "\n"
    "Exit status: 0 done; 1 refused, in conflict, rolled back or not found;\n"
    "2 invalid input; 3 no replica answers; 4 timed out waiting to be in "
    "force.";

using Command = ExitCode (*)(CommandContext &);

const std::map<std::string, Command> &commands() {
  static const std::map<std::string, Command> All = {
      {ApplyFile::Verb, ApplyFile::run},
      {CheckFile::Verb, CheckFile::run},
      {DumpProcess::Verb, DumpProcess::run},
      {ExplainRequest::Verb, ExplainRequest::run},
      {ShowHistory::Verb, ShowHistory::run},
      {ShowMoves::Verb, ShowMoves::run},
      {ShowStatus::Verb, ShowStatus::run},
  };
  return All;
}

Result<std::vector<Endpoint>> parseControl(const std::string &Text) {
  std::vector<Endpoint> All;
  std::istringstream Parts(Text);
  for (std::string Part; std::getline(Parts, Part, ',');) {
    auto Address = parseEndpoint(Part);
    if (!Address)
      return fail(ErrorCode::InvalidArgument,
                  "--control: \"" + Part + "\" is not an address IP:PORT");
    All.push_back(*Address);
  }
  return All;
}

Result<CommandOptions> optionsOf(int Count, char **Words) {
  CommandOptions Options;
  Options.AsJson = FLAGS_json;
  Options.Follow = FLAGS_follow;
  Options.FollowMoves = FLAGS_follow_moves;
  Options.NoWait = FLAGS_no_wait;
  auto Timeout = parseDuration(FLAGS_timeout);
  if (!Timeout)
    return fail(ErrorCode::InvalidArgument,
                "--timeout must be a duration such as 30s");
  Options.Timeout = *Timeout;
  for (int Index = 2; Index < Count; ++Index)
    Options.Arguments.emplace_back(Words[Index]);
  return Options;
}

int failWith(ExitCode Code, const std::string &Problem) {
  std::cerr << "amaranthctl: " << Problem << '\n';
  return static_cast<int>(Code);
}

} // namespace

int main(int Count, char **Words) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Count, &Words, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  auto Found = commands().find(Count > 1 ? Words[1] : "");
  if (Found == commands().end()) {
    std::cerr << "amaranthctl: " << Usage << '\n';
    return static_cast<int>(ExitCode::InvalidInput);
  }
  auto Options = optionsOf(Count, Words);
  if (!Options)
    return failWith(ExitCode::InvalidInput, Options.error().Message);
  auto Control = parseControl(FLAGS_control);
  if (!Control)
    return failWith(ExitCode::InvalidInput, Control.error().Message);
  auto Sender = HttpSender::create();
  if (!Sender)
    return failWith(ExitCode::NoReplica, Sender.error().Message);
  ControlClient::Hooks Hooks;
  Hooks.Send = [&Sender](const Endpoint &At, const HttpRequestHead &Head,
                         const std::string &Body) {
    return Sender->send(At, Head, Body);
  };
  Hooks.Sleep = [](Duration Time) { std::this_thread::sleep_for(Time); };
  Hooks.Now = monotonicNow;
  CommandContext Context{*Options, *Control,  Hooks,
                         wallNow,  std::cout, std::cerr};
  return static_cast<int>(Found->second(Context));
}
