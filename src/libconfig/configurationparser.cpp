#include "libconfig/configurationparser.h"

#include "libconfig/textunits.h"
#include <algorithm>
#include <set>

namespace amaranthward {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxOperatorVersion = 1000000000000;
constexpr Duration MaxProbation = 24h;
constexpr Duration MaxFinishWithin = 168h;
constexpr Duration MaxWarmUp = 10min;
constexpr Duration MaxRetention = 1h;

std::string quoted(const std::string &Name) { return '"' + Name + '"'; }

// "service "catalogue"", or just "service" when the name is unusable.
std::string titled(const char *Kind, const YamlNode &Map) {
  const YamlNode *Name = Map.field("name");
  if (Name == nullptr || Name->What != YamlNode::Kind::Scalar)
    return Kind;
  return std::string(Kind) + ' ' + YamlChecker::describe(*Name);
}

template <typename T, typename Value>
void assign(T &Target, const std::optional<Value> &Found) {
  if (Found)
    Target = T(*Found);
}

} // namespace

ConfigurationSet ConfigurationParser::parse(const YamlNode &Root) {
  ConfigurationSet Set;
  if (!this->Check.map(Root, "the file",
                       {"version", "zones", "services", "routes", "limits"},
                       {"version", "zones", "services", "routes"}))
    return Set;
  if (const YamlNode *Node = Root.field("version"))
    assign(Set.Version,
           this->Check.number(*Node, "version", 1, MaxOperatorVersion));
  if (const YamlNode *Node = Root.field("zones"))
    this->parseZones(*Node, Set);
  if (const YamlNode *Node = Root.field("services"))
    this->parseServices(*Node, Set);
  if (const YamlNode *Node = Root.field("routes"))
    this->parseRoutes(*Node, Set);
  if (const YamlNode *Node = Root.field("limits"))
    this->parseMeshLimits(*Node, Set.Limits);
  this->checkReferences(Set);
  return Set;
}

void ConfigurationParser::parseZones(const YamlNode &List,
                                     ConfigurationSet &Set) {
  if (!this->Check.sequence(List, "zones"))
    return;
  std::map<std::string, int> FirstLines;
  for (const YamlNode &Item : List.Items) {
    ZoneSpec Zone = this->parseZone(Item);
    this->checkUnique(Item, "zone", Zone.Name.str(), FirstLines);
    Set.Zones.push_back(std::move(Zone));
  }
  if (List.Items.empty())
    this->Check.error(List, "zones is empty", "name at least one zone");
  else if (std::none_of(Set.Zones.begin(), Set.Zones.end(),
                        [](const ZoneSpec &One) { return One.InService; }))
    this->Check.error(List, "no zone is in service",
                      "leave at least one zone in service");
}

ZoneSpec ConfigurationParser::parseZone(const YamlNode &Map) {
  ZoneSpec Zone;
  std::string Title = titled("zone", Map);
  if (!this->Check.map(Map, Title, {"name", "region", "in_service"},
                       {"name", "region"}))
    return Zone;
  if (const YamlNode *Node = Map.field("name"))
    assign(Zone.Name, this->Check.name(*Node, "zone name"));
  if (const YamlNode *Node = Map.field("region"))
    assign(Zone.Region, this->Check.name(*Node, "region of " + Title));
  if (const YamlNode *Node = Map.field("in_service"))
    assign(Zone.InService,
           this->Check.boolean(*Node, "in_service of " + Title));
  return Zone;
}

void ConfigurationParser::parseServices(const YamlNode &List,
                                        ConfigurationSet &Set) {
  if (!this->Check.sequence(List, "services"))
    return;
  std::map<std::string, int> FirstLines;
  for (const YamlNode &Item : List.Items) {
    ServiceSpec Service = this->parseService(Item);
    this->checkUnique(Item, "service", Service.Name.str(), FirstLines);
    Set.Services.push_back(std::move(Service));
  }
  if (List.Items.empty())
    this->Check.error(List, "services is empty", "name at least one service");
}

ServiceSpec ConfigurationParser::parseService(const YamlNode &Map) {
  ServiceSpec Service;
  if (!this->Check.map(
          Map, titled("service", Map),
          {"name", "versions", "split", "move", "depends_on", "limits"},
          {"name", "versions"}))
    return Service;
  if (const YamlNode *Node = Map.field("name"))
    assign(Service.Name, this->Check.name(*Node, "service name"));
  if (const YamlNode *Node = Map.field("versions"))
    this->parseVersions(*Node, Service);
  if (const YamlNode *Node = Map.field("split"))
    this->parseSplit(*Node, Service);
  else
    this->defaultSplit(Map, Service);
  if (const YamlNode *Node = Map.field("move"))
    this->parseMove(*Node, Service);
  if (const YamlNode *Node = Map.field("depends_on"))
    this->parseDependencies(*Node, Service);
  if (const YamlNode *Node = Map.field("limits"))
    this->parseUpstreamLimits(*Node, Service.Limits);
  return Service;
}

void ConfigurationParser::parseVersions(const YamlNode &List,
                                        ServiceSpec &Service) {
  std::string What = "versions of service " + quoted(Service.Name.str());
  if (!this->Check.sequence(List, What))
    return;
  std::map<std::string, int> FirstLines;
  for (const YamlNode &Item : List.Items) {
    auto Name = this->Check.name(Item, "version name");
    if (!Name)
      continue;
    this->checkUnique(Item, "version", *Name, FirstLines);
    Service.Versions.emplace_back(*Name);
  }
  if (List.Items.empty())
    this->Check.error(List, What + " is empty", "name at least one version");
}

void ConfigurationParser::parseSplit(const YamlNode &Map,
                                     ServiceSpec &Service) {
  std::string What = "split of service " + quoted(Service.Name.str());
  if (!this->Check.freeMap(Map, What))
    return;
  for (const VersionName &Version : Service.Versions)
    Service.Split[Version] = Share::none();
  std::uint64_t Sum = 0;
  bool Complete = true;
  for (const YamlField &Field : Map.Fields) {
    VersionName Version(Field.Key.Text);
    bool Known = Service.Split.contains(Version);
    if (!Known) {
      this->Check.error(Field.Key,
                        What + " names version " +
                            YamlChecker::describe(Field.Key) +
                            ", which the service does not have",
                        "add it to versions or remove it from split");
    }
    auto Part = this->Check.share(Field.Value, "share");
    Complete = Complete && Known && Part;
    if (!Complete)
      continue;
    Service.Split[Version] = *Part;
    Sum += Part->parts();
  }
  if (Complete && Sum != Share::Whole) {
    this->Check.error(Map,
                      What + " adds up to " +
                          formatShare(Share(static_cast<std::uint32_t>(
                              std::min<std::uint64_t>(Sum, UINT32_MAX)))),
                      "make the shares add up to 100%");
  }
}

void ConfigurationParser::defaultSplit(const YamlNode &Map,
                                       ServiceSpec &Service) {
  if (Service.Versions.size() == 1)
    Service.Split[Service.Versions.front()] = Share::all();
  else if (Service.Versions.size() > 1)
    this->Check.error(
        Map, titled("service", Map) + " has several versions but no split",
        "add split with the share of each version");
}

void ConfigurationParser::parseMove(const YamlNode &Map, ServiceSpec &Service) {
  std::string What = "move of service " + quoted(Service.Name.str());
  if (!this->Check.map(Map, What, {"finish_by", "finish_within", "probation"},
                       {}))
    return;
  MoveSpec Move;
  const YamlNode *By = Map.field("finish_by");
  const YamlNode *Within = Map.field("finish_within");
  if ((By == nullptr) == (Within == nullptr)) {
    this->Check.error(
        Map, What + (By == nullptr ? " has no deadline" : " has two deadlines"),
        "give either finish_by or finish_within");
  }
  if (By != nullptr)
    Move.FinishBy = this->Check.wallTime(*By, "finish_by");
  if (Move.FinishBy && this->Now && *Move.FinishBy <= *this->Now) {
    this->Check.error(*By,
                      "finish_by is in the past; it is now " +
                          formatWallTime(*this->Now),
                      "give a later time");
  }
  if (Within != nullptr)
    Move.FinishWithin =
        this->Check.duration(*Within, "finish_within", 1s, MaxFinishWithin);
  if (const YamlNode *Node = Map.field("probation"))
    assign(Move.Probation,
           this->Check.duration(*Node, "probation", 0s, MaxProbation));
  Service.Move = Move;
}

void ConfigurationParser::parseDependencies(const YamlNode &List,
                                            ServiceSpec &Service) {
  std::string From = "service " + quoted(Service.Name.str());
  if (!this->Check.sequence(List, "depends_on of " + From))
    return;
  std::map<std::string, int> FirstLines;
  for (const YamlNode &Item : List.Items) {
    auto Name = this->Check.name(Item, "dependency");
    if (!Name)
      continue;
    this->checkUnique(Item, "dependency", *Name, FirstLines);
    if (*Name == Service.Name.str())
      this->Check.error(Item, From + " depends on itself",
                        "remove it from depends_on");
    this->References.push_back({&Item, *Name, From});
    Service.DependsOn.emplace_back(*Name);
  }
}

void ConfigurationParser::parseUpstreamLimits(const YamlNode &Map,
                                              UpstreamLimits &Limits) {
  if (!this->Check.map(Map, "limits",
                       {"slots", "connections", "queue", "warm_up"}, {}))
    return;
  if (const YamlNode *Node = Map.field("slots"))
    assign(Limits.Slots, this->Check.number(*Node, "slots", 1, 10000));
  if (const YamlNode *Node = Map.field("connections"))
    assign(Limits.Connections,
           this->Check.number(*Node, "connections", 1, 100000));
  if (const YamlNode *Node = Map.field("queue"))
    assign(Limits.Queue, this->Check.number(*Node, "queue", 0, 10000));
  if (const YamlNode *Node = Map.field("warm_up"))
    assign(Limits.WarmUp,
           this->Check.duration(*Node, "warm_up", 0s, MaxWarmUp));
  if (Limits.Connections < Limits.Slots) {
    this->Check.warning(Map,
                        "connections is lower than slots, so " +
                            std::to_string(Limits.Slots - Limits.Connections) +
                            " slots are never used",
                        "raise connections or lower slots");
  }
}

void ConfigurationParser::parseMeshLimits(const YamlNode &Map,
                                          MeshLimits &Limits) {
  if (!this->Check.map(Map, "limits", {"retry_budget", "idempotency_retention"},
                       {}))
    return;
  if (const YamlNode *Node = Map.field("retry_budget"))
    assign(Limits.RetryBudget, this->Check.share(*Node, "retry_budget"));
  if (const YamlNode *Node = Map.field("idempotency_retention"))
    assign(
        Limits.IdempotencyRetention,
        this->Check.duration(*Node, "idempotency_retention", 1s, MaxRetention));
}

void ConfigurationParser::checkReferences(const ConfigurationSet &Set) {
  std::set<std::string> Names;
  for (const ServiceSpec &Service : Set.Services)
    Names.insert(Service.Name.str());
  for (const Reference &One : this->References) {
    if (!Names.contains(One.Target)) {
      this->Check.error(*One.At,
                        One.From + " refers to service " + quoted(One.Target) +
                            ", which the set does not have",
                        "add the service or correct the name");
    }
  }
}

void ConfigurationParser::checkUnique(const YamlNode &At,
                                      const std::string &What,
                                      const std::string &Name,
                                      std::map<std::string, int> &FirstLines) {
  if (Name.empty())
    return;
  auto [First, IsNew] = FirstLines.emplace(Name, At.Line);
  if (!IsNew) {
    this->Check.error(At,
                      What + ' ' + quoted(Name) +
                          " appears twice, first in line " +
                          std::to_string(First->second),
                      "remove or rename one of the two");
  }
}

} // namespace amaranthward
