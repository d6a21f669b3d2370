#include "libproxy/announcementcheck.h"

namespace amaranthward {

namespace {

Result<void> refuse(const std::string &Reason) {
  return fail(ErrorCode::InvalidArgument, Reason);
}

/// Whether both name the same start although they describe it differently.
bool contradicts(const UpstreamAnnouncement &Received,
                 const UpstreamAnnouncement &Current) {
  return !Received.Instance.empty() && Received.StartedAt != 0 &&
         Received.Instance == Current.Instance &&
         Received.StartedAt == Current.StartedAt &&
         !Received.sameStart(Current);
}

Result<void> checkService(const UpstreamAnnouncement &Received,
                          const AnnouncementContext &Known) {
  if (Known.OwnService.empty() || Received.Service == Known.OwnService)
    return {};
  if (!Known.View || !Known.View->service(Received.Service))
    return refuse("service \"" + Received.Service.str() +
                  "\" is neither that of this node nor in the configuration");
  // An address goes to another service only after its upstream has ended.
  bool IsTaken = Known.Current && !Known.Current->Leaving &&
                 Known.Current->Service != Received.Service &&
                 Known.Silence < AnnouncementContext::RunningTime;
  if (IsTaken)
    return refuse("upstream \"" + Known.Current->Instance.str() +
                  "\" of service \"" + Known.Current->Service.str() +
                  "\" still runs at this address");
  return {};
}

} // namespace

Result<void> checkAnnouncement(const UpstreamAnnouncement &Received,
                               const AnnouncementContext &Known) {
  if (!Known.OwnAddress.empty() && Received.Address != Known.OwnAddress)
    return refuse("upstream " + Received.Address.str() +
                  " is not the upstream that the settings of this node name");
  if (Known.Current && contradicts(Received, *Known.Current))
    return refuse("the announcement contradicts an earlier one of instance \"" +
                  Received.Instance.str() + "\"");
  return checkService(Received, Known);
}

} // namespace amaranthward
