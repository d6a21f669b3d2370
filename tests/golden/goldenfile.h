#ifndef AMARANTHWARD_TESTS_GOLDEN_GOLDENFILE_H
#define AMARANTHWARD_TESTS_GOLDEN_GOLDENFILE_H

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <string>

namespace amaranthward {

inline std::string readTextFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

/// Compares \a Text with tests/golden/<Name>. With AMARANTHWARD_UPDATE_GOLDEN
/// set in the environment, writes the file instead.
inline void checkGolden(const std::string &Name, const std::string &Text) {
  std::string Path =
      std::string(AMARANTHWARD_SOURCE_DIR) + "/tests/golden/" + Name;
  if (std::getenv("AMARANTHWARD_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(Path, std::ios::binary) << Text;
    return;
  }
  CHECK(readTextFile(Path) == Text);
}

} // namespace amaranthward

#endif
