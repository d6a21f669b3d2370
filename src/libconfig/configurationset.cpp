#include "libconfig/configurationset.h"

#include <algorithm>

namespace amaranthward {

namespace {

template <typename Spec, typename Name>
const Spec *findByName(const std::vector<Spec> &All, const Name &Wanted) {
  auto Found = std::find_if(All.begin(), All.end(), [&](const Spec &One) {
    return One.Name == Wanted;
  });
  return Found == All.end() ? nullptr : &*Found;
}

} // namespace

const char *toString(CallClass Class) {
  switch (Class) {
  case CallClass::Urgent:
    return "urgent";
  case CallClass::Interactive:
    return "interactive";
  case CallClass::Bulk:
    return "bulk";
  }
  return "interactive";
}

std::optional<CallClass> callClassOf(std::string_view Text) {
  for (CallClass Class :
       {CallClass::Urgent, CallClass::Interactive, CallClass::Bulk}) {
    if (Text == toString(Class))
      return Class;
  }
  return std::nullopt;
}

bool RouteSpec::serves(const ServiceName &Name) const {
  if (this->Parts.empty())
    return this->Service == Name;
  return std::any_of(
      this->Parts.begin(), this->Parts.end(),
      [&Name](const RoutePart &Part) { return Part.Service == Name; });
}

const ServiceSpec *
ConfigurationSet::findService(const ServiceName &Name) const {
  return findByName(this->Services, Name);
}

const ZoneSpec *ConfigurationSet::findZone(const ZoneName &Name) const {
  return findByName(this->Zones, Name);
}

} // namespace amaranthward
