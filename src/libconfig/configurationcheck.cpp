#include "libconfig/configurationcheck.h"

#include "libconfig/hostname.h"
#include <algorithm>
#include <set>

namespace amaranthward {

namespace {

class Checker {
public:
  explicit Checker(const ConfigurationSet &Set) : Set(Set) {}

  Findings check() {
    if (this->Set.Version == OperatorVersion())
      this->error("set", "the version must be positive", "count up from 1");
    this->checkServices();
    for (const RouteSpec &Route : this->Set.Routes)
      this->checkRoute(Route);
    return std::move(this->All);
  }

private:
  void error(const std::string &Resource, const std::string &Message,
             const std::string &Remedy) {
    this->All.push_back({Severity::Error, {Resource, 0, 0}, Message, Remedy});
  }

  void checkServices() {
    for (const ServiceSpec &Service : this->Set.Services) {
      std::string At = "service/" + Service.Name.str();
      if (Service.Name.empty())
        this->error(At, "a service has no name", "name it");
      if (!this->Services.insert(Service.Name).second)
        this->error(At, "the service appears twice", "remove one of the two");
      if (Service.Limits.Connections == 0)
        this->error(At, "an upstream has no connections",
                    "allow one connection at least");
    }
  }

  void checkRoute(const RouteSpec &Route) {
    std::string At = "route/" + Route.Name.str();
    if (Route.Name.empty())
      this->error(At, "a route has no name", "name it");
    if (!this->Routes.insert(Route.Name).second)
      this->error(At, "the route appears twice", "remove one of the two");
    if (!Route.PathPrefix.starts_with('/'))
      this->error(At, "the path prefix does not begin with a slash",
                  "begin it with a slash");
    std::string Host = normalizedHost(Route.Host);
    if (!Route.Host.empty() && Host.empty())
      this->error(At, "the host has no name", "name a host");
    if (!this->Matches.emplace(Host, Route.PathPrefix).second)
      this->error(At, "another route has the same host and path prefix",
                  "change one of the two");
    if (Route.Timeout <= Duration::zero())
      this->error(At, "the timeout is not positive", "raise the timeout");
    this->checkTargets(Route, At);
  }

  void checkTargets(const RouteSpec &Route, const std::string &At) {
    if (Route.Parts.empty())
      return this->checkTarget(Route.Service, At);
    double Sum = 0;
    for (const RoutePart &Part : Route.Parts) {
      this->checkTarget(Part.Service, At);
      if (Part.Weight < 0)
        this->error(At, "a weight is negative", "use weights from 0");
      Sum += std::max(0.0, Part.Weight);
    }
    if (Sum <= 0)
      this->error(At, "no part has a weight", "raise one of the weights");
  }

  void checkTarget(const ServiceName &Service, const std::string &At) {
    if (!this->Services.contains(Service))
      this->error(At, "service \"" + Service.str() + "\" is not in the set",
                  "add the service or correct the name");
  }

  const ConfigurationSet &Set;
  std::set<ServiceName> Services;
  std::set<RouteName> Routes;
  std::set<std::pair<std::string, std::string>> Matches;
  Findings All;
};

} // namespace

Findings checkConfiguration(const ConfigurationSet &Set) {
  return Checker(Set).check();
}

} // namespace amaranthward
