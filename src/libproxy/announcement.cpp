#include "libproxy/announcement.h"

namespace amaranthward {

namespace {
constexpr std::uint64_t MaxSlots = 100000;
} // namespace

bool UpstreamAnnouncement::sameStart(const UpstreamAnnouncement &Other) const {
  return this->Address == Other.Address && this->Service == Other.Service &&
         this->Version == Other.Version && this->Slots == Other.Slots &&
         this->Instance == Other.Instance && this->StartedAt == Other.StartedAt;
}

Result<UpstreamAnnouncement> UpstreamAnnouncement::parse(const Json &Body) {
  UpstreamAnnouncement Found;
  Found.Service = ServiceName(textAt(Body, "service"));
  Found.Version = VersionName(textAt(Body, "version"));
  Found.Address = Endpoint(textAt(Body, "address"));
  std::uint64_t Slots = numberAt(Body, "slots");
  std::uint64_t Connections = numberAt(Body, "connections", Slots);
  if (Found.Service.empty() || Found.Version.empty() || Found.Address.empty())
    return fail(ErrorCode::InvalidArgument,
                "service, version and address are required");
  if (Slots == 0 || Slots > MaxSlots || Connections > MaxSlots)
    return fail(ErrorCode::InvalidArgument,
                "slots must be between 1 and " + std::to_string(MaxSlots));
  Found.Slots = static_cast<std::uint32_t>(Slots);
  Found.Connections = static_cast<std::uint32_t>(Connections);
  Found.Leaving = boolAt(Body, "leaving");
  return Found;
}

} // namespace amaranthward
