#ifndef AMARANTHWARD_TESTS_LIBCONTROL_OPERATORSESSION_H
#define AMARANTHWARD_TESTS_LIBCONTROL_OPERATORSESSION_H

#include "controlfixture.h"
#include "libpolicy/observation.h"
#include <map>
#include <sstream>

namespace amaranthward::testing {

/// A scripted session of an operator with three control replicas, in virtual
/// time. Nodes are played by one sender that renews their sessions, puts each
/// revision in force at once and reports the calls of one service.
class OperatorSession {
public:
  /// \param Service the service whose calls are reported.
  OperatorSession(std::uint64_t Seed, const std::string &Service,
                  const std::string &Route);

  void addNodes(const std::string &Zone, const std::string &Version, int Count);
  /// Part of the calls of a version that fail.
  void setFailures(const std::string &Version, double Part);
  /// Submits a set and writes the answer.
  void apply(const std::string &Yaml);
  void applyExample(const std::string &Name);
  void run(Duration Time);
  /// Writes the splits and how far the newest revision is in force.
  void showStatus();
  void cutLeader();

  const std::string text() const { return this->Text.str(); }
  std::size_t leader();

private:
  void write(const std::string &Line);
  void sync();
  void call();
  void report(UplinkBatch &Batch, const MoveState &Move) const;
  void writeEvents();

  static constexpr int CallsPerSecond = 200;
  static constexpr Duration SyncInterval = std::chrono::milliseconds(100);

  ControlFixture Mesh;
  RandomFunction Random;
  ServiceName Service;
  RouteName Route;
  std::ostringstream Text;
  Instant Start;
  std::vector<Member> Nodes;
  std::map<VersionName, double> Failures;
  std::map<VersionName, CallCounters> Counters;
  std::string CountedMove;
  std::uint64_t LastEvent = 0;
  std::uint64_t Sequence = 0;
};

} // namespace amaranthward::testing

#endif
