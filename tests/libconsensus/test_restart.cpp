#include "libconsensus/consensusreplica.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// A cluster of one replica on a real data folder.
class SingleReplica {
public:
  explicit SingleReplica(const std::string &Path) {
    ReplicaOptions Options;
    Options.Self = ReplicaName("only");
    Options.DataFolder = Path;
    Options.SegmentBytes = 300;
    Options.SnapshotAfterBytes = 1000;
    ReplicaHooks Hooks;
    Hooks.Send = [](const ReplicaName &, const Json &) {};
    Hooks.Apply = [this](LogIndex, Term, const std::string &Payload) {
      this->State.push_back(Payload);
    };
    Hooks.TakeSnapshot = [this] { return Json(this->State).dump(); };
    Hooks.RestoreSnapshot = [this](const std::string &Taken, LogIndex) {
      this->State = Json::parse(Taken).get<std::vector<std::string>>();
    };
    Hooks.Now = [this] { return this->Now; };
    Hooks.Random = seededRandom(1);
    auto Created = ConsensusReplica::create(Options, Hooks);
    if (Created)
      this->Replica = std::move(*Created);
    else
      this->Failure = Created.error();
  }

  void lead() {
    for (int Step = 0; Step < 500 && !this->Replica->isLeader(); ++Step)
      this->tick();
    this->tick();
  }

  void tick() {
    this->Now += 10ms;
    this->Replica->tick();
  }

  std::unique_ptr<ConsensusReplica> Replica;
  Error Failure;
  std::vector<std::string> State;
  Instant Now = Instant(1h);
};

} // namespace

TEST_CASE("A replica keeps its state over restarts on a real folder") {
  // Guards against a difference between the test folder and real files, and
  // against payloads that a restart loses or repeats.
  auto Path = std::filesystem::temp_directory_path() /
              ("amaranthward-replica-" + std::to_string(::getpid()));
  std::filesystem::remove_all(Path);
  std::vector<std::string> Expected;
  DiskIdentity Identity;
  for (int Start = 0; Start < 4; ++Start) {
    SingleReplica One(Path.string());
    REQUIRE(One.Replica);
    One.lead();
    REQUIRE(One.Replica->isLeader());
    CHECK(One.State == Expected);
    CHECK((Start == 0 || One.Replica->identity() == Identity));
    Identity = One.Replica->identity();
    for (int Number = 0; Number < 7; ++Number) {
      std::string Payload =
          std::string(90, 'x') + std::to_string(Start * 7 + Number);
      bool Done = false;
      One.Replica->propose(Payload, [&Done](Result<LogIndex> Value) {
        Done = Value.has_value();
      });
      CHECK_FALSE(Done);
      One.tick();
      CHECK(Done);
      Expected.push_back(Payload);
    }
    CHECK(One.State == Expected);
  }
  {
    SingleReplica One(Path.string());
    CHECK(One.Replica->status()["snapshot"].get<std::uint64_t>() > 0);
    // The folder is in use by this replica.
    CHECK((SingleReplica(Path.string()).Failure.Code == ErrorCode::Conflict));
  }
  std::filesystem::remove(Path / "state");
  SingleReplica Damaged(Path.string());
  CHECK((Damaged.Failure.Code == ErrorCode::Corrupt));
  CHECK(Damaged.Failure.Message.find(Path.string() + "/state: missing") == 0);
  std::filesystem::remove_all(Path);
}
