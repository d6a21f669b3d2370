#include "libdistribution/mesh.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(nodes, "13,100,300,2016", "mesh sizes to measure");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_bool(check, false, "exit with 1 when a bound is missed");

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

// Request line, headers and framing of one HTTP message of this protocol.
constexpr std::uint64_t HttpBytes = 200;
constexpr std::uint64_t MaxNodeBytesPerSecond = 19'000;
constexpr std::size_t ChunkBytes = 65536;
constexpr Duration MaxConvergence = 4s;

struct Traffic {
  std::uint64_t LeaderOut = 0, LeaderIn = 0, LeaderMessages = 0;
  std::uint64_t NodeMean = 0, NodeMax = 0;
};

std::size_t zonesFor(std::size_t Nodes) {
  return Nodes < 50 ? 1 : Nodes < 1000 ? 4 : 24;
}

bool allKnown(const Mesh &Net) {
  return Net.Sessions->size() == Net.Nodes.size() && Net.converged();
}

/// Runs \a Work and returns the bytes that it caused, HTTP included.
Traffic measure(Mesh &Net, const std::function<void()> &Work) {
  Net.Wire.BytesIn.clear();
  Net.Wire.BytesOut.clear();
  Net.Wire.MessagesOut.clear();
  Work();
  const std::string Leader = Net.Leader.Self.PeerAddress.str();
  Traffic Sum;
  Sum.LeaderMessages = Net.Wire.MessagesOut[Leader];
  Sum.LeaderOut = Net.Wire.BytesOut[Leader] + Sum.LeaderMessages * HttpBytes;
  // Each request has one response.
  Sum.LeaderIn = Net.Wire.BytesIn[Leader] + Sum.LeaderMessages * HttpBytes;
  for (const auto &One : Net.Nodes) {
    const std::string Address = One->Self.PeerAddress.str();
    const std::uint64_t Bytes = Net.Wire.BytesIn[Address] +
                                Net.Wire.BytesOut[Address] +
                                2 * Net.Wire.MessagesOut[Address] * HttpBytes;
    Sum.NodeMean += Bytes;
    Sum.NodeMax = std::max(Sum.NodeMax, Bytes);
  }
  Sum.NodeMean /= Net.Nodes.size();
  return Sum;
}

void print(const char *What, const Traffic &Sum, double Seconds) {
  std::printf("  %-18s leader out %.0f in %.0f B/s, %.1f messages/s; node mean "
              "%.0f max %.0f B/s\n",
              What, Sum.LeaderOut / Seconds, Sum.LeaderIn / Seconds,
              Sum.LeaderMessages / Seconds, Sum.NodeMean / Seconds,
              Sum.NodeMax / Seconds);
}

long long milliseconds(std::optional<Duration> Time) {
  return Time ? static_cast<long long>(Time->count() / 1000) : -1;
}

void snapshotOf(const Mesh &Net) {
  std::size_t Bytes = 0;
  std::size_t Chunks = 0;
  Duration Longest = 0us;
  const ResourceTable &Table = Net.Leader.State.Members;
  TableChunk Chunk = Table.read(TableVersion(), ChunkBytes);
  for (;;) {
    const std::string Text = dumpJson(toJson(Chunk));
    const Instant Begin = monotonicNow();
    const auto Parsed = tableChunkFromJson(parseJson(Text).value());
    Longest = std::max(Longest, monotonicNow() - Begin);
    Bytes += Text.size();
    ++Chunks;
    if (!Parsed || !Parsed->Next)
      break;
    Chunk = Table.read(*Parsed->Next, ChunkBytes);
  }
  std::printf("  member snapshot    %zu bytes in %zu chunks, longest parse "
              "%.2f ms (wall)\n",
              Bytes, Chunks, static_cast<double>(Longest.count()) / 1000);
}

/// Returns false when a bound is missed.
bool measureSize(std::size_t Nodes) {
  MeshOptions Options;
  Options.Zones = zonesFor(Nodes);
  Options.NodesPerZone = Nodes / Options.Zones;
  Mesh Net(FLAGS_seed, Options);
  std::vector<ResourceChange> Initial;
  for (std::uint64_t Key = 0; Key < 310; ++Key)
    Initial.push_back({"service/s" + std::to_string(Key),
                       Json{{"versions", {"v1", "v2"}}, {"slots", 9U}}});
  Net.change(Initial, Revision(1));
  std::printf("%zu nodes in %zu zones, seed %llu\n", Net.Nodes.size(),
              Options.Zones, static_cast<unsigned long long>(FLAGS_seed));
  std::optional<Duration> Start;
  const Traffic Starting = measure(Net, [&] {
    Net.startAll();
    Start = Net.runUntil([&] { return allKnown(Net); }, 120s);
  });
  std::printf("  restart of all     all in after %lld ms; leader out %llu in "
              "%llu bytes; node max %llu bytes\n",
              milliseconds(Start),
              static_cast<unsigned long long>(Starting.LeaderOut),
              static_cast<unsigned long long>(Starting.LeaderIn),
              static_cast<unsigned long long>(Starting.NodeMax));
  Net.Wire.run(30s);
  const Duration Quiet = Nodes > 1000 ? 20s : 60s;
  const Traffic Idle = measure(Net, [&] { Net.Wire.run(Quiet); });
  print("quiet", Idle, std::chrono::duration<double>(Quiet).count());
  std::optional<Duration> Converged;
  const Traffic Change = measure(Net, [&] {
    Net.change({{"service/s7", Json{{"versions", {"v2"}}}}}, Revision(2));
    Converged = Net.runUntil([&] { return Net.converged(); }, 10s);
    Net.Wire.run(1s - Converged.value_or(0s));
  });
  print("second of a change", Change, 1);
  std::printf("  converged          %lld ms in virtual time, 1 ms per hop\n",
              milliseconds(Converged));
  std::optional<Duration> Caught;
  const std::string Away = Net.Nodes[3]->Self.PeerAddress.str();
  Net.Wire.Disconnected.insert(Away);
  for (std::uint64_t Number = 3; Number <= 502; ++Number)
    Net.change({{"service/s" + std::to_string(Number % 40),
                 Json{{"versions", {"v1", "v2"}}, {"slots", Number}}}},
               Revision(Number));
  Net.Wire.run(5s);
  Net.Wire.Disconnected.clear();
  Net.Wire.BytesIn.clear();
  Caught = Net.runUntil(
      [&] { return Net.Nodes[3]->State.inForce() == Revision(502); }, 20s);
  std::printf("  500 missed changes %llu bytes received, %lld ms\n",
              static_cast<unsigned long long>(Net.Wire.BytesIn[Away]),
              milliseconds(Caught));
  snapshotOf(Net);
  const auto Seconds = static_cast<std::uint64_t>(Quiet / 1s);
  const bool Good = Start && Caught && Converged &&
                    *Converged <= MaxConvergence &&
                    Idle.NodeMax / Seconds <= MaxNodeBytesPerSecond &&
                    Change.NodeMax <= MaxNodeBytesPerSecond;
  std::printf("  bounds             %s\n", Good ? "met" : "MISSED");
  std::fflush(stdout);
  return Good;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  bool Good = true;
  std::stringstream Sizes(FLAGS_nodes);
  for (std::string Size; std::getline(Sizes, Size, ',');)
    Good = measureSize(std::stoul(Size)) && Good;
  return FLAGS_check && !Good ? 1 : 0;
}
