#include "golden/goldenfile.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationreader.h"
#include "libconfig/settings.h"

#include <filesystem>
#include <set>

using namespace amaranthward;

namespace {

std::vector<std::filesystem::path> examples(const std::string &Prefix) {
  std::vector<std::filesystem::path> Found;
  std::string Folder = std::string(AMARANTHWARD_SOURCE_DIR) + "/examples";
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Folder)) {
    if (Entry.path().filename().string().starts_with(Prefix))
      Found.push_back(Entry.path());
  }
  return Found;
}

} // namespace

TEST_CASE("every example set is valid and differs from the others") {
  // Guards against examples that the reader refuses after a change of format.
  std::set<std::string> Digests;
  auto Files = examples("set-");
  CHECK(Files.size() >= 6);
  for (const auto &File : Files) {
    ReadOutcome Outcome =
        readConfiguration(readTextFile(File), File, std::nullopt);
    CAPTURE(File.string());
    REQUIRE(Outcome.Set);
    CHECK(Outcome.All.empty());
    CHECK(Digests.insert(digestOf(*Outcome.Set)).second);
    std::string Number = std::to_string(Outcome.Set->Version.value());
    CHECK(File.filename() == "set-" + Number + ".yaml");
  }
}

TEST_CASE("every settings example is valid") {
  // Guards against examples that a process refuses to start with.
  for (const auto &File : examples("node.yaml")) {
    auto Outcome = readNodeSettings(readTextFile(File), File);
    CAPTURE(File.string());
    CHECK(Outcome.Settings);
    CHECK(Outcome.All.empty());
  }
  for (const auto &File : examples("control.yaml")) {
    auto Outcome = readControlSettings(readTextFile(File), File);
    CAPTURE(File.string());
    CHECK(Outcome.Settings);
    CHECK(Outcome.All.empty());
  }
}
