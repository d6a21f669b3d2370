#ifndef AMARANTHWARD_LIBCONFIG_YAMLCHECKER_H
#define AMARANTHWARD_LIBCONFIG_YAMLCHECKER_H

#include "libconfig/yamltree.h"
#include "libcore/ids.h"
#include "libcore/units.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

namespace amaranthward {

/// Reads typed values from YAML nodes and collects findings about those that
/// do not fit. The functions return nothing when they added a finding.
class YamlChecker {
public:
  using Names = std::initializer_list<const char *>;

  explicit YamlChecker(std::string FileName) : FileName(FileName) {}

  void error(const YamlNode &At, std::string Message, std::string Remedy);
  void warning(const YamlNode &At, std::string Message, std::string Remedy);
  bool hasErrors() const { return this->ErrorCount > 0; }
  /// All findings in the order of the text.
  Findings takeFindings();

  /// Checks that \a Node is a map whose keys are known and not repeated, and
  /// that the required ones are present. Returns false only when it is no map.
  bool map(const YamlNode &Node, const std::string &What, Names Known,
           Names Required);
  /// The same for a map whose keys are names that operators choose.
  bool freeMap(const YamlNode &Node, const std::string &What);
  bool sequence(const YamlNode &Node, const std::string &What);

  /// Letters, digits, '-', '_' and '.', starting with a letter or digit; at
  /// most \a MaxNameLength bytes.
  std::optional<std::string> name(const YamlNode &Node,
                                  const std::string &What);
  /// Text without control characters.
  std::optional<std::string> text(const YamlNode &Node, const std::string &What,
                                  std::size_t MaxLength);
  std::optional<std::uint64_t> number(const YamlNode &Node,
                                      const std::string &What,
                                      std::uint64_t Min, std::uint64_t Max);
  std::optional<bool> boolean(const YamlNode &Node, const std::string &What);
  std::optional<Duration> duration(const YamlNode &Node,
                                   const std::string &What, Duration Min,
                                   Duration Max);
  std::optional<Share> share(const YamlNode &Node, const std::string &What);
  std::optional<WallTime> wallTime(const YamlNode &Node,
                                   const std::string &What);
  /// \param Listens accepts port 0 and the unspecified address.
  std::optional<Endpoint> endpoint(const YamlNode &Node,
                                   const std::string &What, bool Listens);

  /// The value as findings show it: quoted, on one line and cut when long.
  static std::string describe(const YamlNode &Node);

  static constexpr std::size_t MaxNameLength = 63;
  /// Findings beyond this number are counted but not kept.
  static constexpr std::size_t MaxFindings = 200;

private:
  void add(Severity Level, const YamlNode &At, std::string Message,
           std::string Remedy);
  void wrongValue(const YamlNode &Node, const std::string &What,
                  const std::string &Wanted, const std::string &Remedy);
  void repeatedKeys(const YamlNode &Map, const std::string &What);

  std::string FileName;
  Findings All;
  std::size_t ErrorCount = 0;
  std::size_t Dropped = 0;
};

} // namespace amaranthward

#endif
