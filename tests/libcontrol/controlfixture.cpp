#include "controlfixture.h"

#include <doctest/doctest.h>
#include <unistd.h>

namespace amaranthward::testing {

TemporaryFolder::TemporaryFolder() {
  static int Number = 0;
  this->Path = std::filesystem::temp_directory_path() /
               ("amaranthward-test-" + std::to_string(getpid()) + '-' +
                std::to_string(Number++));
  std::filesystem::create_directories(this->Path);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  std::filesystem::remove_all(this->Path, Ignored);
}

ControlFixture::ControlFixture(std::uint64_t Seed) : Cut(3, false) {
  for (std::size_t Number = 0; Number < this->Cut.size(); ++Number) {
    ReplicaOptions Options;
    Options.Self = ReplicaName(nameOf(Number));
    for (std::size_t Other = 0; Other < this->Cut.size(); ++Other) {
      if (Other != Number)
        Options.Peers.emplace_back(nameOf(Other));
    }
    Options.DataFolder = this->Folder.path() / nameOf(Number);
    ControlServiceHooks Hooks;
    Hooks.SendToReplica = [this, Number](const ReplicaName &To,
                                         const Json &Body) {
      std::size_t Target = To.str().back() - '0';
      this->Queue.push_back({Number, Target, Body});
    };
    Hooks.Now = [this] { return this->Now; };
    Hooks.Wall = [this] { return WallTime(this->Now.time_since_epoch()); };
    Hooks.Random = seededRandom(Seed * 31 + Number);
    auto Made = ControlService::create(std::move(Options), std::move(Hooks));
    REQUIRE(Made.has_value());
    this->Replicas.push_back(std::move(*Made));
  }
}

void ControlFixture::run(Duration Time) {
  for (Instant End = this->Now + Time; this->Now < End;
       this->Now += std::chrono::milliseconds(1)) {
    this->deliver();
    for (auto &Replica : this->Replicas)
      Replica->tick();
  }
}

void ControlFixture::deliver() {
  std::deque<Message> Arrived;
  Arrived.swap(this->Queue);
  for (const Message &Next : Arrived) {
    if (!this->Cut[Next.From] && !this->Cut[Next.To])
      this->Replicas[Next.To]->receive(ReplicaName(nameOf(Next.From)),
                                       Next.Body);
  }
}

std::size_t ControlFixture::waitForLeader() {
  for (int Round = 0; Round < 100; ++Round) {
    for (std::size_t Number = 0; Number < this->size(); ++Number) {
      if (!this->Cut[Number] && this->Replicas[Number]->isLeader())
        return Number;
    }
    this->run(std::chrono::milliseconds(100));
  }
  FAIL("no leader within 10 s");
  return 0;
}

std::optional<SubmitAnswer> ControlFixture::submit(std::size_t Number,
                                                   const std::string &Yaml,
                                                   Duration Time) {
  auto Answer = std::make_shared<std::optional<SubmitAnswer>>();
  this->Replicas[Number]->submit(
      Yaml, [Answer](SubmitAnswer Received) { *Answer = std::move(Received); });
  for (Instant End = this->Now + Time; !*Answer && this->Now < End;)
    this->run(std::chrono::milliseconds(10));
  return *Answer;
}

std::string ControlFixture::nameOf(std::size_t Number) {
  return "control-" + std::to_string(Number);
}

std::string catalogueSet(unsigned Version, unsigned PercentOnV2,
                         const std::string &FinishWithin) {
  std::string V2 = std::to_string(PercentOnV2);
  std::string V1 = std::to_string(100 - PercentOnV2);
  return "version: " + std::to_string(Version) +
         "\n"
         "zones:\n"
         "  - {name: tw-central-a, region: tw-central, in_service: true}\n"
         "services:\n"
         "  - name: catalogue\n"
         "    versions: [v1, v2]\n"
         "    split: {v1: " +
         V1 + "%, v2: " + V2 +
         "%}\n"
         "    move: {finish_within: " +
         FinishWithin +
         ", probation: 2s}\n"
         "routes:\n"
         "  - {name: parts, method: GET, path_prefix: /parts,"
         " service: catalogue}\n";
}

} // namespace amaranthward::testing
