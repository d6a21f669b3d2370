#include "libconsensus/testcluster.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// Applies random faults and proposals, then repairs everything and checks
/// that the cluster recovers with all acknowledged proposals.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed)
      : Bus(Seed, Seed % 4 == 0
                      ? std::vector<std::string>{"a", "b", "c", "d", "e"}
                      : std::vector<std::string>{"a", "b", "c"}) {
    this->Bus.Options.SnapshotAfterBytes = 400;
    this->Bus.Options.SegmentBytes = 300;
    this->Bus.Options.SnapshotChunkBytes = 64;
    this->Bus.Options.MaxAppendBytes = 512;
    this->Bus.LossPercent = static_cast<int>(Seed % 3) * 5;
    this->Bus.DuplicatePercent = static_cast<int>(Seed % 5) * 4;
    this->Bus.MaxDelayMs = Seed % 2 == 0 ? 3 : 80;
  }

  void run() {
    this->Bus.startAll();
    REQUIRE(this->Bus.commit("first"));
    for (int Action = 0; Action < 400; ++Action) {
      this->act();
      this->Bus.run(std::chrono::milliseconds(this->Bus.Random() % 300));
    }
    this->recover();
    REQUIRE(this->Bus.commit("last"));
    // A repeated "last" may be held at its first index only, so this waits for
    // every acknowledged entry.
    CHECK(this->Bus.runUntil([&] { return this->Bus.allHoldAcknowledged(); },
                             60s));
    CHECK(this->Bus.allHold("last"));
    this->Bus.checkAcknowledged();
    CHECK(this->Bus.violations() == "");
    CHECK(this->Bus.acknowledged() > 20);
  }

  int DisksLost = 0;

private:
  std::string pick() {
    return this->Bus.Names[this->Bus.Random() % this->Bus.Names.size()];
  }

  void act() {
    std::string Name = this->pick();
    TestCluster::Node &Node = this->Bus.at(Name);
    switch (this->Bus.Random() % 24) {
    case 0:
      return this->Bus.crash(Name);
    case 1:
    case 2:
    case 3:
      return this->restartStopped();
    case 4:
      return this->Bus.cut(Name);
    case 5:
    case 6:
    case 14:
      return this->Bus.heal();
    case 7:
    case 8:
      return this->maybeLoseDisk(Name);
    case 9:
      Node.Disk->Full = true;
      return;
    case 10:
      Node.Disk->FailSyncs = this->Bus.Random() % 4 == 0;
      return;
    case 11:
    case 12:
      return this->endDiskFaults();
    case 13:
      if (Node.Replica)
        (void)Node.Replica->transferLeadership();
      return;
    default:
      this->proposeEverywhere();
    }
  }

  void endDiskFaults() {
    for (const std::string &Name : this->Bus.Names)
      this->Bus.at(Name).Disk->Full = this->Bus.at(Name).Disk->FailSyncs =
          false;
  }

  void proposeEverywhere() {
    for (const std::string &Name : this->Bus.Names)
      if (this->Bus.at(Name).Replica)
        this->Bus.propose(Name, "payload-" + std::to_string(++this->Number));
  }

  void restartStopped() {
    for (const std::string &Name : this->Bus.Names) {
      TestCluster::Node &Node = this->Bus.at(Name);
      if (Node.Replica && !Node.Replica->hasFailed())
        continue;
      // Also ends the faults of the disk, which would fail the start.
      this->Bus.crash(Name);
      CHECK(this->Bus.start(Name) == "");
    }
  }

  /// A disk may be lost only while a majority keeps its own: all replicas run,
  /// are voters and hold everything committed.
  void maybeLoseDisk(const std::string &Name) {
    for (const std::string &Other : this->Bus.Names) {
      TestCluster::Node &Node = this->Bus.at(Other);
      if (!Node.Replica || Node.Replica->hasFailed() ||
          !this->Bus.isVoter(Other))
        return;
    }
    this->Bus.loseDisk(Name);
    ++this->DisksLost;
    CHECK(this->Bus.start(Name) == "");
  }

  void recover() {
    this->Bus.heal();
    this->Bus.LossPercent = this->Bus.DuplicatePercent = 0;
    this->Bus.MaxDelayMs = 3;
    this->endDiskFaults();
    this->restartStopped();
  }

  TestCluster Bus;
  int Number = 0;
};

} // namespace

TEST_CASE("Safety holds under random faults") {
  // Guards against any order of loss, duplication, delay, crashes, full and
  // failing disks, lost disks, transfers and partitions that breaks agreement.
  int DisksLost = 0;
  for (std::uint64_t Seed = 1; Seed <= 150; ++Seed) {
    CAPTURE(Seed);
    RandomRun Run(Seed);
    Run.run();
    DisksLost += Run.DisksLost;
  }
  // The repair of lost disks must be a part of what was tested.
  CHECK(DisksLost > 150);
}
