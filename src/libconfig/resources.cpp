#include "libconfig/resources.h"

#include "libconfig/configurationcodec.h"
#include "libconfig/speccodec.h"

namespace amaranthward {

ResourceMap resourcesOf(const ConfigurationSet &Set, std::string Digest) {
  ResourceMap All;
  if (Digest.empty())
    Digest = digestOf(Set);
  All["set"] = {{"version", Set.Version.value()}, {"digest", Digest}};
  All["mesh"] = toJson(Set.Limits);
  for (const ZoneSpec &Zone : Set.Zones)
    All["zone/" + Zone.Name.str()] = toJson(Zone);
  for (const ServiceSpec &Service : Set.Services)
    All["service/" + Service.Name.str()] = toJson(Service);
  for (const RouteSpec &Route : Set.Routes)
    All["route/" + Route.Name.str()] = toJson(Route);
  return All;
}

} // namespace amaranthward
