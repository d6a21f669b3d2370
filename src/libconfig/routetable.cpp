#include "libconfig/routetable.h"

#include <algorithm>
#include <cctype>

namespace amaranthward {

namespace {

// Takes the first segment off a path "/first/rest", which leaves "/rest".
std::string_view takeSegment(std::string_view &Path) {
  Path.remove_prefix(1);
  std::size_t End = std::min(Path.find('/'), Path.size());
  std::string_view Segment = Path.substr(0, End);
  Path.remove_prefix(End);
  return Segment;
}

// A prefix matches on a segment boundary, with a slash at its end or not.
std::string_view withoutLastSlash(std::string_view Prefix) {
  if (Prefix.ends_with('/'))
    Prefix.remove_suffix(1);
  return Prefix;
}

// Lower case, without the port.
std::string hostKey(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos && Host.find(']', Colon) == Host.npos)
    Host = Host.substr(0, Colon);
  std::string Key(Host);
  std::transform(Key.begin(), Key.end(), Key.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Key;
}

} // namespace

void RouteTable::add(const RouteSpec &Route) {
  Level *At = &this->Hosts[hostKey(Route.Host)];
  std::string_view Rest = withoutLastSlash(Route.PathPrefix);
  while (!Rest.empty()) {
    auto &Child = At->Children[std::string(takeSegment(Rest))];
    if (!Child)
      Child = std::make_unique<Level>();
    At = Child.get();
  }
  auto Place =
      std::lower_bound(At->Routes.begin(), At->Routes.end(), Route.Name,
                       [](const RouteSpec *Each, const RouteName &Name) {
                         return Each->Name < Name;
                       });
  At->Routes.insert(Place, &Route);
}

void RouteTable::remove(const RouteSpec &Route) {
  auto Host = this->Hosts.find(hostKey(Route.Host));
  if (Host == this->Hosts.end())
    return;
  removeBelow(Host->second, withoutLastSlash(Route.PathPrefix), Route);
  if (Host->second.empty())
    this->Hosts.erase(Host);
}

void RouteTable::removeBelow(Level &At, std::string_view Rest,
                             const RouteSpec &Route) {
  if (Rest.empty()) {
    std::erase(At.Routes, &Route);
    return;
  }
  auto Child = At.Children.find(takeSegment(Rest));
  if (Child == At.Children.end())
    return;
  removeBelow(*Child->second, Rest, Route);
  if (Child->second->empty())
    At.Children.erase(Child);
}

const RouteSpec *RouteTable::pick(const Level &At, std::string_view Method) {
  const RouteSpec *AnyMethod = nullptr;
  for (const RouteSpec *Route : At.Routes) {
    if (Route->Method == Method)
      return Route;
    if (Route->Method.empty() && AnyMethod == nullptr)
      AnyMethod = Route;
  }
  return AnyMethod;
}

const RouteSpec *RouteTable::matchBelow(const Level &Root,
                                        std::string_view Method,
                                        std::string_view Path) {
  const Level *At = &Root;
  const RouteSpec *Best = pick(*At, Method);
  while (!Path.empty()) {
    auto Child = At->Children.find(takeSegment(Path));
    if (Child == At->Children.end())
      break;
    At = Child->second.get();
    if (const RouteSpec *Longer = pick(*At, Method))
      Best = Longer;
  }
  return Best;
}

const RouteSpec *RouteTable::match(std::string_view Method,
                                   std::string_view Host,
                                   std::string_view Path) const {
  if (!Path.starts_with('/'))
    return nullptr;
  for (const std::string &Key : {hostKey(Host), std::string()}) {
    auto Found = this->Hosts.find(Key);
    if (Found == this->Hosts.end())
      continue;
    if (const RouteSpec *Best = matchBelow(Found->second, Method, Path))
      return Best;
  }
  return nullptr;
}

} // namespace amaranthward
