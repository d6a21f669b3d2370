// Prints the sync time, records per second and election times of the log.

#include "libconsensus/diskfolder.h"
#include "libconsensus/logstore.h"
#include "libconsensus/testcluster.h"
#include "libcore/log.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t PayloadBytes = 200;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double quantile(std::vector<double> &Values, double Part) {
  std::sort(Values.begin(), Values.end());
  auto Place =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  return Values[Place];
}

void printQuantiles(const char *Name, std::vector<double> &Values) {
  std::printf("%-34s p50 %8.2f  p90 %8.2f  p99 %8.2f  max %8.2f ms\n", Name,
              quantile(Values, 0.5), quantile(Values, 0.9),
              quantile(Values, 0.99), quantile(Values, 1.0));
}

/// Appends batches to a log in \a Path for about a second.
bool measureBatches(const std::string &Path, std::size_t BatchSize) {
  std::filesystem::remove_all(Path);
  auto Files = DiskFolder::create(Path);
  if (!Files)
    return false;
  auto Log = LogStore::create(*Files, {});
  if (!Log)
    return false;
  std::vector<double> Times;
  std::size_t Records = 0;
  Instant Start = monotonicNow();
  while (monotonicNow() - Start < 1s) {
    for (std::size_t Number = 0; Number < BatchSize; ++Number)
      Log->append({Log->lastIndex().next(), Term(1), EntryType::Payload,
                   std::string(PayloadBytes, 'x')});
    Instant Before = monotonicNow();
    if (!Log->flush())
      return false;
    Times.push_back(1e3 * seconds(monotonicNow() - Before));
    Records += BatchSize;
  }
  double Rate = static_cast<double>(Records) / seconds(monotonicNow() - Start);
  std::string Name = "flush of " + std::to_string(BatchSize) + " records";
  printQuantiles(Name.c_str(), Times);
  std::printf("%-34s %.0f records/s\n", "", Rate);
  std::filesystem::remove_all(Path);
  return true;
}

/// Processor time of three replicas in one process, with files in memory and
/// messages as JSON text.
void measureReplication(std::size_t BatchSize) {
  TestCluster Bus(1);
  Bus.startAll();
  Bus.commit("before");
  std::string Leader = Bus.leaderName();
  std::size_t Before = Bus.acknowledged();
  Instant Start = monotonicNow();
  while (monotonicNow() - Start < 1s) {
    for (std::size_t Number = 0; Number < BatchSize; ++Number)
      Bus.propose(Leader, std::string(PayloadBytes, 'x'));
    Bus.run(30ms);
  }
  double Taken = seconds(monotonicNow() - Start);
  std::printf("replicated to three, %4zu at a time %.0f records/s\n", BatchSize,
              static_cast<double>(Bus.acknowledged() - Before) / Taken);
}

/// Time without a leader that can commit, after the leader crashes.
void measureElections(int LossPercent, int MaxDelayMs) {
  std::vector<double> Elected;
  std::vector<double> Committing;
  for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed) {
    TestCluster Bus(Seed);
    Bus.LossPercent = LossPercent;
    Bus.MaxDelayMs = MaxDelayMs;
    Bus.startAll();
    if (!Bus.commit("before"))
      continue;
    // Crashes at different phases of the heartbeat.
    Bus.run(Seed % 20 * 10ms);
    Instant Before = Bus.Now;
    Bus.crash(Bus.leaderName());
    Bus.waitForLeader();
    Elected.push_back(1e3 * seconds(Bus.Now - Before));
    Bus.runUntil([&] {
      return Bus.leader() &&
             Bus.leader()->commitIndex() == Bus.leader()->lastIndex();
    });
    Committing.push_back(1e3 * seconds(Bus.Now - Before));
  }
  std::printf("leader crash, seeds 1 to 1000, loss %d%%, delay to %d ms\n",
              LossPercent, MaxDelayMs);
  printQuantiles("  new leader after", Elected);
  printQuantiles("  its term committed after", Committing);
}

} // namespace

int main(int Count, char **Arguments) {
  configureLogging({.Level = "off"});
  std::string Path = Count > 1 ? Arguments[1] : "bench-consensus-data";
  for (std::size_t BatchSize : {1U, 10U, 100U, 1000U})
    if (!measureBatches(Path, BatchSize))
      return 1;
  for (std::size_t BatchSize : {1U, 10U, 100U, 1000U})
    measureReplication(BatchSize);
  measureElections(0, 3);
  measureElections(5, 20);
  return 0;
}
