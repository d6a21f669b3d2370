#ifndef AMARANTHWARD_LIBCONFIG_CONFIGURATIONPARSER_H
#define AMARANTHWARD_LIBCONFIG_CONFIGURATIONPARSER_H

#include "libconfig/configurationset.h"
#include "libconfig/yamlchecker.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

/// Builds a configuration set from its YAML tree. The set is valid only when
/// the checker has no error afterwards. The tree must outlive the parser.
class ConfigurationParser {
public:
  ConfigurationParser(YamlChecker &Check, std::optional<WallTime> Now)
      : Check(Check), Now(Now) {}

  ConfigurationSet parse(const YamlNode &Root);

private:
  struct Reference {
    const YamlNode *At = nullptr;
    std::string Target;
    std::string From;
  };

  void parseZones(const YamlNode &List, ConfigurationSet &Set);
  void parseServices(const YamlNode &List, ConfigurationSet &Set);
  void parseRoutes(const YamlNode &List, ConfigurationSet &Set);
  void parseMeshLimits(const YamlNode &Map, MeshLimits &Limits);

  ZoneSpec parseZone(const YamlNode &Map);
  ServiceSpec parseService(const YamlNode &Map);
  void parseVersions(const YamlNode &List, ServiceSpec &Service);
  void parseSplit(const YamlNode &Map, ServiceSpec &Service);
  void defaultSplit(const YamlNode &Map, ServiceSpec &Service);
  void parseMove(const YamlNode &Map, ServiceSpec &Service);
  void parseDependencies(const YamlNode &List, ServiceSpec &Service);
  void parseUpstreamLimits(const YamlNode &Map, UpstreamLimits &Limits);
  RouteSpec parseRoute(const YamlNode &Map);
  void parseMethod(const YamlNode &Node, RouteSpec &Route);
  void parsePathPrefix(const YamlNode &Node, RouteSpec &Route);
  void parseClass(const YamlNode &Node, RouteSpec &Route);

  void checkReferences(const ConfigurationSet &Set);
  /// Reports a name that \a FirstLines already has.
  void checkUnique(const YamlNode &At, const std::string &What,
                   const std::string &Name,
                   std::map<std::string, int> &FirstLines);

  YamlChecker &Check;
  std::optional<WallTime> Now;
  /// References to services, checked once all services are known.
  std::vector<Reference> References;
};

} // namespace amaranthward

#endif
