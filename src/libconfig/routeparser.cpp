#include "libconfig/configurationparser.h"

#include <algorithm>
#include <array>

namespace amaranthward {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxMethodLength = 16;
constexpr std::size_t MaxPathLength = 1024;
constexpr Duration MinTimeout = 1ms;
constexpr Duration MaxTimeout = 1h;

// The methods that HTTP defines as idempotent.
bool isIdempotentMethod(const std::string &Method) {
  constexpr std::array<const char *, 6> Idempotent = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(Idempotent.begin(), Idempotent.end(), Method) !=
         Idempotent.end();
}

bool isPathLetter(char Letter) {
  return Letter > ' ' && Letter < 0x7f && Letter != '?' && Letter != '#';
}

std::string routeTitle(const RouteSpec &Route) {
  return Route.Name.empty() ? "route" : "route \"" + Route.Name.str() + '"';
}

} // namespace

void ConfigurationParser::parseRoutes(const YamlNode &List,
                                      ConfigurationSet &Set) {
  if (!this->Check.sequence(List, "routes"))
    return;
  std::map<std::string, int> FirstLines;
  std::map<std::string, int> FirstMatches;
  for (const YamlNode &Item : List.Items) {
    RouteSpec Route = this->parseRoute(Item);
    this->checkUnique(Item, "route", Route.Name.str(), FirstLines);
    std::string Match = (Route.Method.empty() ? "any method" : Route.Method) +
                        ' ' + Route.PathPrefix;
    auto [First, IsNew] = FirstMatches.emplace(Match, Item.Line);
    if (!IsNew && !Route.PathPrefix.empty()) {
      this->Check.error(Item,
                        routeTitle(Route) + " matches \"" + Match +
                            "\", as the route in line " +
                            std::to_string(First->second) + " does",
                        "change method or path_prefix of one of the two");
    }
    Set.Routes.push_back(std::move(Route));
  }
  if (List.Items.empty())
    this->Check.error(List, "routes is empty", "name at least one route");
}

RouteSpec ConfigurationParser::parseRoute(const YamlNode &Map) {
  RouteSpec Route;
  const YamlNode *Name = Map.field("name");
  if (Name != nullptr) {
    if (auto Text = this->Check.name(*Name, "route name"))
      Route.Name = RouteName(*Text);
  }
  std::string Title = routeTitle(Route);
  if (!this->Check.map(Map, Title,
                       {"name", "method", "path_prefix", "service", "class",
                        "idempotent", "timeout"},
                       {"name", "path_prefix", "service"}))
    return Route;
  if (const YamlNode *Node = Map.field("method"))
    this->parseMethod(*Node, Route);
  if (const YamlNode *Node = Map.field("path_prefix"))
    this->parsePathPrefix(*Node, Route);
  if (const YamlNode *Node = Map.field("service")) {
    if (auto Text = this->Check.name(*Node, "service of " + Title)) {
      this->References.push_back({Node, *Text, Title});
      Route.Service = ServiceName(*Text);
    }
  }
  if (const YamlNode *Node = Map.field("class"))
    this->parseClass(*Node, Route);
  Route.Idempotent = isIdempotentMethod(Route.Method);
  if (const YamlNode *Node = Map.field("idempotent"))
    Route.Idempotent = this->Check.boolean(*Node, "idempotent").value_or(false);
  if (const YamlNode *Node = Map.field("timeout"))
    Route.Timeout =
        this->Check.duration(*Node, "timeout", MinTimeout, MaxTimeout)
            .value_or(Route.Timeout);
  return Route;
}

void ConfigurationParser::parseMethod(const YamlNode &Node, RouteSpec &Route) {
  bool Fits = Node.What == YamlNode::Kind::Scalar && !Node.Text.empty() &&
              Node.Text.size() <= MaxMethodLength &&
              std::all_of(Node.Text.begin(), Node.Text.end(), [](char Letter) {
                return Letter >= 'A' && Letter <= 'Z';
              });
  if (Fits)
    Route.Method = Node.Text;
  else
    this->Check.error(Node, "method must be an HTTP method in capital letters",
                      "write GET or POST, or leave method out for any method");
}

void ConfigurationParser::parsePathPrefix(const YamlNode &Node,
                                          RouteSpec &Route) {
  auto Text = this->Check.text(Node, "path_prefix", MaxPathLength);
  if (!Text)
    return;
  bool Fits = Text->front() == '/' &&
              (Text->size() == 1 || Text->back() != '/') &&
              Text->find("//") == std::string::npos &&
              std::all_of(Text->begin(), Text->end(), isPathLetter);
  if (Fits)
    Route.PathPrefix = *Text;
  else
    this->Check.error(Node, "path_prefix \"" + *Text + "\" is not a path",
                      "start with '/', end without '/' and use no empty "
                      "segment, space, '?' or '#'");
}

void ConfigurationParser::parseClass(const YamlNode &Node, RouteSpec &Route) {
  auto Class = callClassOf(Node.Text);
  if (Class)
    Route.Class = *Class;
  else
    this->Check.error(Node, "class must be urgent, interactive or bulk",
                      "write urgent, interactive or bulk");
}

} // namespace amaranthward
