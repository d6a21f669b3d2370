#ifndef AMARANTHWARD_TESTS_LIBCONSENSUS_TESTCLUSTER_H
#define AMARANTHWARD_TESTS_LIBCONSENSUS_TESTCLUSTER_H

#include "libconsensus/consensusreplica.h"
#include "libconsensus/memoryfolder.h"
#include "libconsensus/messagebus.h"
#include <string>
#include <vector>

namespace amaranthward {

/// Replicas on a message bus. Checks on every step that a term has one leader
/// and that applied entries never differ.
class TestCluster : public MessageBus {
public:
  struct Node {
    std::shared_ptr<MemoryFolder> Disk = std::make_shared<MemoryFolder>();
    std::unique_ptr<ConsensusReplica> Replica;
    /// The replicated state: payloads by log index.
    std::map<std::uint64_t, std::string> State;
    /// Drops messages of these types that arrive here.
    std::set<std::string> Refuses;
  };
  struct Outcome {
    bool Settled = false;
    Result<LogIndex> Value = fail(ErrorCode::Timeout, "still open");
  };
  using OutcomePtr = std::shared_ptr<Outcome>;

  explicit TestCluster(std::uint64_t Seed,
                       std::vector<std::string> Names = {"a", "b", "c"});

  /// Starts a replica on its present disk. The error message if that fails.
  std::string start(const std::string &Name);
  void startAll();
  /// Stops without warning; unsynced changes are lost.
  void crash(const std::string &Name);
  /// Crashes and replaces the disk by an empty one.
  void loseDisk(const std::string &Name);

  void run(Duration Time);
  /// False when \a Condition does not hold within \a Limit.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(20));

  /// The leader with the highest term among the connected replicas, or null.
  ConsensusReplica *leader();
  std::string leaderName();
  bool waitForLeader();
  OutcomePtr propose(const std::string &Name, const std::string &Payload);
  OutcomePtr confirmRead(const std::string &Name);
  /// Proposes at the leader until one is acknowledged.
  bool commit(const std::string &Payload);
  bool isVoter(const std::string &Name);
  bool allHold(const std::string &Payload);

  Node &at(const std::string &Name) { return this->Nodes.at(Name); }
  std::size_t acknowledged() const { return this->Acknowledged.size(); }
  /// Safety violations seen so far, one a line.
  const std::string &violations() const { return this->Violations; }
  /// Acknowledged entries that a running replica lacks, with its name.
  std::vector<std::string> missingAcknowledged() const;
  bool allHoldAcknowledged() const {
    return this->missingAcknowledged().empty();
  }
  /// Checks that each running replica holds every acknowledged payload.
  void checkAcknowledged();

  ReplicaOptions Options;
  std::vector<std::string> Names;

private:
  void step();
  void apply(const std::string &Name, std::uint64_t Index,
             const std::string &Payload);
  void violation(const std::string &Text) { this->Violations += Text + "\n"; }

  std::map<std::string, Node> Nodes;
  std::map<std::uint64_t, std::string> Leaders;
  std::map<std::uint64_t, std::string> Committed;
  std::map<std::uint64_t, std::string> Acknowledged;
  std::string Violations;
};

} // namespace amaranthward

#endif
