#include "libconfig/routetable.h"

#include "libconfig/hostname.h"
#include <algorithm>

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

// The segments of a prefix, each after a slash.
std::string_view withoutLastSlash(std::string_view Prefix) {
  if (Prefix.ends_with('/'))
    Prefix.remove_suffix(1);
  return Prefix;
}

} // namespace

RouteTable::RouteList &RouteTable::Level::listFor(std::string_view PathPrefix) {
  return PathPrefix.ends_with('/') ? this->RoutesBelow : this->Routes;
}

void RouteTable::add(const RouteSpec &Route) {
  Level *At = &this->Hosts[normalizedHost(Route.Host)];
  std::string_view Rest = withoutLastSlash(Route.PathPrefix);
  while (!Rest.empty()) {
    auto &Child = At->Children[std::string(takeSegment(Rest))];
    if (!Child)
      Child = std::make_unique<Level>();
    At = Child.get();
  }
  RouteList &List = At->listFor(Route.PathPrefix);
  auto Place =
      std::lower_bound(List.begin(), List.end(), Route.Name,
                       [](const RouteSpec *Each, const RouteName &Name) {
                         return Each->Name < Name;
                       });
  List.insert(Place, &Route);
}

void RouteTable::remove(const RouteSpec &Route) {
  auto Host = this->Hosts.find(normalizedHost(Route.Host));
  if (Host == this->Hosts.end())
    return;
  removeBelow(Host->second, withoutLastSlash(Route.PathPrefix), Route);
  if (Host->second.empty())
    this->Hosts.erase(Host);
}

void RouteTable::removeBelow(Level &At, std::string_view Rest,
                             const RouteSpec &Route) {
  if (Rest.empty()) {
    std::erase(At.listFor(Route.PathPrefix), &Route);
    return;
  }
  auto Child = At.Children.find(takeSegment(Rest));
  if (Child == At.Children.end())
    return;
  removeBelow(*Child->second, Rest, Route);
  if (Child->second->empty())
    At.Children.erase(Child);
}

const RouteSpec *RouteTable::pick(const RouteList &Routes,
                                  std::string_view Method) {
  const RouteSpec *AnyMethod = nullptr;
  for (const RouteSpec *Route : Routes) {
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
  const RouteSpec *Best = nullptr;
  while (true) {
    if (const RouteSpec *Longer = pick(At->Routes, Method))
      Best = Longer;
    if (Path.empty())
      return Best;
    if (const RouteSpec *Longer = pick(At->RoutesBelow, Method))
      Best = Longer;
    auto Child = At->Children.find(takeSegment(Path));
    if (Child == At->Children.end())
      return Best;
    At = Child->second.get();
  }
}

const RouteSpec *RouteTable::match(std::string_view Method,
                                   std::string_view Host,
                                   std::string_view Path) const {
  if (!Path.starts_with('/'))
    return nullptr;
  for (const std::string &Key : {normalizedHost(Host), std::string()}) {
    auto Found = this->Hosts.find(Key);
    if (Found == this->Hosts.end())
      continue;
    if (const RouteSpec *Best = matchBelow(Found->second, Method, Path))
      return Best;
  }
  return nullptr;
}

} // namespace amaranthward
