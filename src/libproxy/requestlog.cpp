#include "libproxy/requestlog.h"

namespace amaranthward {

LogFields requestFields(const HeaderNames &Names, const HttpHeaders &Received,
                        const std::string &Call) {
  LogFields Fields;
  if (!Names.RequestId.empty())
    Fields.add("request", Received.get(Names.RequestId));
  if (!Call.empty())
    Fields.add("call", Call);
  return Fields;
}

void addStatus(LogFields &Fields, const AdmissionStatus &Status) {
  Fields.add("in_flight", Status.InFlight)
      .add("limit", Status.Limit)
      .add("queued", Status.Queued);
}

} // namespace amaranthward
