#include "libproxy/upstreamdirectory.h"
#include "libproxy/versiondraw.h"
#include <charconv>

namespace amaranthward {

UpstreamDirectory::UpstreamDirectory(NodeIdentity Self, RandomFunction Random)
    : Self(std::move(Self)), Random(std::move(Random)) {}

void UpstreamDirectory::update(const ProxyState &State, Instant Now) {
  std::set<ZoneName> OutOfService;
  if (State.View)
    OutOfService = State.View->zonesOutOfService();
  std::map<Group, std::vector<UpstreamCandidate>> Grouped;
  for (const auto &[Key, Selector] : this->Selectors)
    Grouped[Key];
  this->Members.clear();
  for (const Member &Each : State.Members) {
    this->Members[Each.Node] = Each;
    if (Each.Service.empty())
      continue;
    UpstreamCandidate Candidate{Each.Node,   Each.Start, Each.Zone,
                                Each.Region, Each.Slots, Each.Leaving};
    Grouped[{Each.Service, Each.Version}].push_back(Candidate);
    if (State.View && State.View->hasAnnouncedVersions(Each.Service) &&
        !State.View->isBad(Each.Service, Each.Version))
      Grouped[{Each.Service, AnyVersion}].push_back(Candidate);
  }
  for (const auto &[Key, Candidates] : Grouped) {
    auto Found = this->Selectors.find(Key);
    if (Found == this->Selectors.end()) {
      UpstreamSelectorSettings Settings;
      Settings.OwnZone = this->Self.Zone;
      Settings.OwnRegion = this->Self.Region;
      auto Made = UpstreamSelector::create(Settings, this->Random);
      if (!Made)
        continue;
      Found = this->Selectors.emplace(Key, std::move(*Made)).first;
    }
    Found->second.setCandidates(Candidates, OutOfService, Now);
  }
}

std::optional<UpstreamDirectory::Chosen> UpstreamDirectory::choose(
    const ServiceName &Service, const VersionName &Version, Instant Now,
    const std::vector<UpstreamHandle> &Tried, LocalityPreference Locality) {
  auto Found = this->Selectors.find({Service, Version});
  if (Found == this->Selectors.end())
    return std::nullopt;
  auto Handle = Found->second.choose(Now, Tried, Locality);
  if (!Handle)
    return std::nullopt;
  const UpstreamCandidate *Candidate = Found->second.find(*Handle);
  const Member *Target = Candidate ? this->member(Candidate->Node) : nullptr;
  if (!Target)
    return std::nullopt;
  return Chosen{Version, *Handle, *Target};
}

bool UpstreamDirectory::hasUntried(
    const ServiceName &Service, const VersionName &Version,
    const std::vector<UpstreamHandle> &Tried) const {
  auto Found = this->Selectors.find({Service, Version});
  return Found != this->Selectors.end() && Found->second.hasUntried(Tried);
}

void UpstreamDirectory::finish(const ServiceName &Service, const Chosen &Ended,
                               AttemptResult Result, Duration Latency,
                               Instant Now) {
  auto Found = this->Selectors.find({Service, Ended.Version});
  if (Found != this->Selectors.end())
    Found->second.finish(Ended.Handle, Result, Latency, Now);
}

void UpstreamDirectory::hintLoad(const ServiceName &Service, const Chosen &From,
                                 const std::string &Load, Instant Now) {
  auto Found = this->Selectors.find({Service, From.Version});
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0;
  const char *End = Load.data() + Load.size();
  auto First = std::from_chars(Load.data(), End, InFlight);
  if (Found == this->Selectors.end() || First.ec != std::errc() ||
      First.ptr == End || *First.ptr != '/')
    return;
  auto Second = std::from_chars(First.ptr + 1, End, Limit);
  if (Second.ec == std::errc() && Second.ptr == End)
    Found->second.hintLoad(From.Handle, InFlight, Limit, Now);
}

std::size_t UpstreamDirectory::inService(const ServiceName &Service,
                                         const VersionName &Version) const {
  auto Found = this->Selectors.find({Service, Version});
  return Found == this->Selectors.end() ? 0 : Found->second.inService();
}

const Member *UpstreamDirectory::member(const NodeName &Node) const {
  auto Found = this->Members.find(Node);
  return Found == this->Members.end() ? nullptr : &Found->second;
}

Json UpstreamDirectory::dump(Instant Now) const {
  Json All = Json::object();
  for (const auto &[Key, Selector] : this->Selectors)
    All[Key.first.str()][Key.second.str()] = {
        {"in_service", Selector.inService()},
        {"ejected", Selector.ejected(Now)}};
  return All;
}

} // namespace amaranthward
