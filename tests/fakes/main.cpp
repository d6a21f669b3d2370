#include "fakes/fakeupstream.h"
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(announce, "", "local listener of the node beside it");
DEFINE_string(service, "catalogue", "service name");
DEFINE_string(service_version, "v1", "version name");
DEFINE_uint32(slots, 9, "calls at the same time");
DEFINE_uint32(connections, 130, "connections at the same time");
DEFINE_uint32(latency_us, 2000, "time of one call in microseconds");
DEFINE_uint32(fail_percent, 0, "calls that fail, in percent");
DEFINE_uint32(warm_up_ms, 0, "time to full capacity in milliseconds");
DEFINE_bool(fall_over, false, "fail for a while when overloaded");

namespace {

using namespace amaranthward;

constexpr Duration SignalCheckInterval = std::chrono::milliseconds(20);

volatile std::sig_atomic_t StopRequested = 0;

void requestStop(int) { StopRequested = 1; }

FakeUpstreamOptions optionsFromFlags() {
  FakeUpstreamOptions Options;
  Options.Listen = Endpoint(FLAGS_listen);
  Options.Node = Endpoint(FLAGS_announce);
  Options.Service = FLAGS_service;
  Options.Version = FLAGS_service_version;
  Options.Slots = FLAGS_slots;
  Options.Connections = FLAGS_connections;
  Options.Latency = std::chrono::microseconds(FLAGS_latency_us);
  Options.FailPercent = FLAGS_fail_percent;
  Options.WarmUp = std::chrono::milliseconds(FLAGS_warm_up_ms);
  Options.FallOver = FLAGS_fall_over;
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  auto Loop = EventLoop::create();
  if (!Loop) {
    std::cerr << "fakeupstream: " << Loop.error().Message << '\n';
    return 1;
  }
  auto Upstream = FakeUpstream::create(**Loop, optionsFromFlags());
  if (!Upstream) {
    std::cerr << "fakeupstream: " << Upstream.error().Message << '\n';
    return 1;
  }
  std::signal(SIGTERM, requestStop);
  std::signal(SIGPIPE, SIG_IGN);
  (*Loop)->every(SignalCheckInterval, [&Upstream] {
    if (StopRequested)
      (*Upstream)->beginStop();
  });
  (*Loop)->run();
  return 0;
}
