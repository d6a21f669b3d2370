#ifndef AMARANTHWARD_TESTS_LIBCONTROL_CONTROLFIXTURE_H
#define AMARANTHWARD_TESTS_LIBCONTROL_CONTROLFIXTURE_H

#include "libcontrol/controlservice.h"
#include <deque>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace amaranthward::testing {

/// A folder that is removed at the end of a test.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  const std::filesystem::path &path() const { return this->Path; }

private:
  std::filesystem::path Path;
};

/// Three control replicas that exchange messages in virtual time.
class ControlFixture {
public:
  explicit ControlFixture(std::uint64_t Seed);

  /// Advances the time in steps of one millisecond.
  void run(Duration Time);
  /// Runs until a replica that is not cut off leads; returns its number. Fails
  /// the test after 10 s.
  std::size_t waitForLeader();

  ControlService &replica(std::size_t Number) {
    return *this->Replicas[Number];
  }
  std::size_t size() const { return this->Replicas.size(); }
  /// Cuts a replica off, or reconnects it. Messages to and from a replica that
  /// is cut off are lost.
  void cut(std::size_t Number, bool IsCut) { this->Cut[Number] = IsCut; }
  Instant now() const { return this->Now; }

  /// Submits a set to one replica and runs until the answer has arrived or
  /// \a Time is over; unset without an answer.
  std::optional<SubmitAnswer> submit(std::size_t Number,
                                     const std::string &Yaml,
                                     Duration Time = std::chrono::seconds(3));

  static std::string nameOf(std::size_t Number);

private:
  struct Message {
    std::size_t From;
    std::size_t To;
    Json Body;
  };

  void deliver();

  TemporaryFolder Folder;
  Instant Now = Instant(std::chrono::seconds(1));
  std::vector<std::unique_ptr<ControlService>> Replicas;
  std::vector<bool> Cut;
  std::deque<Message> Queue;
};

/// YAML of a set for one service "catalogue" with versions v1 and v2.
std::string catalogueSet(unsigned Version, unsigned PercentOnV2,
                         const std::string &FinishWithin = "20s");

} // namespace amaranthward::testing

#endif
