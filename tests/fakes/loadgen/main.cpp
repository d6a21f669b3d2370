#include "fakes/loadgen/loadgenerator.h"
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(targets, "", "addresses of nodes, separated by commas");
DEFINE_string(direct, "", "address of an upstream to compare with");
DEFINE_double(rate, 300, "calls per second");
DEFINE_double(seconds, 10, "time of the run");
DEFINE_string(method, "GET", "method of the calls");
DEFINE_string(path, "/", "target of the calls");
DEFINE_uint64(body_bytes, 0, "size of the request body");

namespace {

using namespace amaranthward;

LoadOptions optionsFromFlags() {
  LoadOptions Options;
  std::istringstream Targets(FLAGS_targets);
  for (std::string Each; std::getline(Targets, Each, ',');)
    Options.Targets.emplace_back(Each);
  if (!FLAGS_direct.empty())
    Options.Direct = Endpoint(FLAGS_direct);
  Options.Rate = FLAGS_rate;
  Options.Time = Duration(static_cast<std::int64_t>(FLAGS_seconds * 1e6));
  Options.Method = FLAGS_method;
  Options.Path = FLAGS_path;
  Options.BodyBytes = FLAGS_body_bytes;
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  LoadOptions Options = optionsFromFlags();
  auto Loop = EventLoop::create();
  if (Options.Targets.empty() || Options.Rate <= 0 || !Loop) {
    std::cerr << "loadgen: --targets and a positive --rate are required\n";
    return 1;
  }
  auto Client = HttpClient::create(**Loop, {});
  if (!Client) {
    std::cerr << "loadgen: " << Client.error().Message << '\n';
    return 1;
  }
  LoadGenerator Generator(**Loop, **Client, Options);
  Generator.start([&Loop] { (*Loop)->stop(); });
  (*Loop)->run();
  std::cout << Generator.report().dump(2) << '\n';
  return 0;
}
