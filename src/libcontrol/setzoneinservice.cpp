#include "libcontrol/setzoneinservice.h"

namespace amaranthward {

Result<SetZoneInService> SetZoneInService::create(ZoneName Zone,
                                                  bool InService) {
  if (Zone.empty())
    return fail(ErrorCode::InvalidArgument, "the zone name is empty");
  return SetZoneInService(std::move(Zone), InService);
}

Result<SetZoneInService> SetZoneInService::fromJson(const Json &Value) {
  return create(ZoneName(textAt(Value, "zone")), boolAt(Value, "in_service"));
}

Json SetZoneInService::toJson() const {
  return {{"kind", Kind},
          {"zone", this->Zone.str()},
          {"in_service", this->InService}};
}

bool SetZoneInService::isInEffect(const ControlData &Data) const {
  return Data.ZonesOutOfService.contains(this->Zone) != this->InService;
}

void SetZoneInService::execute(ControlData &Data, Revision At) const {
  if (this->isInEffect(Data))
    return;
  if (this->InService)
    Data.ZonesOutOfService.erase(this->Zone);
  else
    Data.ZonesOutOfService.insert(this->Zone);
  Data.Changed = At;
}

} // namespace amaranthward
