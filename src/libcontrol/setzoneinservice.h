#ifndef AMARANTHWARD_LIBCONTROL_SETZONEINSERVICE_H
#define AMARANTHWARD_LIBCONTROL_SETZONEINSERVICE_H

#include "libcontrol/controldata.h"

namespace amaranthward {

/// Command that takes an availability zone out of service or puts it back,
/// independently of the configuration set. Idempotent. It cannot put a zone in
/// service that the set takes out.
class SetZoneInService {
public:
  static constexpr const char *Kind = "zone";

  /// Fails with InvalidArgument when \a Zone is empty.
  static Result<SetZoneInService> create(ZoneName Zone, bool InService);
  static Result<SetZoneInService> fromJson(const Json &Value);
  Json toJson() const;

  /// Whether the state already reflects this order.
  bool isInEffect(const ControlData &Data) const;
  void execute(ControlData &Data, Revision At) const;

private:
  SetZoneInService(ZoneName Zone, bool InService)
      : Zone(std::move(Zone)), InService(InService) {}

  ZoneName Zone;
  bool InService;
};

} // namespace amaranthward

#endif
