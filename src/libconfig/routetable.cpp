#include "libconfig/routetable.h"

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

} // namespace

void RouteTable::add(const RouteSpec &Route) {
  Level *At = &this->Root;
  std::string_view Rest = Route.PathPrefix;
  if (Rest == "/")
    Rest = "";
  while (!Rest.empty()) {
    auto &Child = At->Children[std::string(takeSegment(Rest))];
    if (!Child)
      Child = std::make_unique<Level>();
    At = Child.get();
  }
  At->Routes.push_back(&Route);
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

const RouteSpec *RouteTable::match(std::string_view Method,
                                   std::string_view Path) const {
  if (!Path.starts_with('/'))
    return nullptr;
  const Level *At = &this->Root;
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

} // namespace amaranthward
