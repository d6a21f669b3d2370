#include "libconfig/configurationreader.h"

#include "libconfig/configurationparser.h"
#include "libconfig/yamlchecker.h"
#include "libconfig/yamltree.h"

namespace amaranthward {

ReadOutcome readConfiguration(const std::string &Text,
                              const std::string &FileName,
                              std::optional<WallTime> Now) {
  ReadOutcome Outcome;
  auto Root = parseYaml(Text, FileName, MaxConfigurationBytes, Outcome.All);
  if (!Root)
    return Outcome;
  YamlChecker Check(FileName);
  ConfigurationSet Set = ConfigurationParser(Check, Now).parse(*Root);
  if (!Check.hasErrors())
    Outcome.Set = std::move(Set);
  Outcome.All = Check.takeFindings();
  return Outcome;
}

} // namespace amaranthward
