#ifndef AMARANTHWARD_TESTS_LIBCONTROL_OPERATORSESSION_H
#define AMARANTHWARD_TESTS_LIBCONTROL_OPERATORSESSION_H

#include "controlfixture.h"
#include "libpolicy/observation.h"
#include <map>
#include <sstream>

namespace amaranthward::testing {

/// Scripted session of an operator with three control replicas in virtual time,
/// written as text for comparison with a golden file. The nodes are simulated:
/// each syncs with the leader, puts every revision in force at once, and the
/// first one reports the calls of one service.
class OperatorSession {
public:
  /// \param Service the service whose calls are reported.
  OperatorSession(std::uint64_t Seed, const std::string &Service,
                  const std::string &Route);

  void addNodes(const std::string &Zone, const std::string &Version, int Count);
  /// Sets the fraction (0 to 1) of the calls of a version that fail.
  void setFailures(const std::string &Version, double Part);
  /// Submits a set to the leader and writes the answer.
  void apply(const std::string &Yaml);
  void applyExample(const std::string &Name);
  void run(Duration Time);
  /// Writes the splits and the number of nodes with the newest revision in
  /// force.
  void showStatus();
  /// Cuts the leader off and waits for a new one.
  void cutLeader();

  const std::string text() const { return this->Text.str(); }
  std::size_t leader();

private:
  void write(const std::string &Line);
  /// Sends one sync request per node.
  void sync();
  /// Counts the simulated calls of one sync interval.
  void countCalls();
  void report(UplinkBatch &Batch, const MoveState &Move) const;
  void writeEvents();

  static constexpr int CallsPerSecond = 200;
  static constexpr Duration SyncInterval = std::chrono::milliseconds(100);

  ControlFixture Control;
  RandomFunction Random;
  ServiceName Service;
  RouteName Route;
  std::ostringstream Text;
  Instant Start;
  std::vector<Member> Nodes;
  std::map<VersionName, double> Failures;
  std::map<VersionName, CallCounters> Counters;
  /// Id of the move that Counters belong to.
  std::string CountedMove;
  std::uint64_t LastEvent = 0;
  std::uint64_t Sequence = 0;
};

} // namespace amaranthward::testing

#endif
