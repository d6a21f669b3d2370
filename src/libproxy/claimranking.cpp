#include "libproxy/claimranking.h"

#include "libcore/hashing.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace amaranthward {

namespace {

std::string rankingKey(const ServiceName &Service, const std::string &Key) {
  return Service.str() + '/' + Key;
}

} // namespace

void ClaimRanking::update(const std::vector<Member> &Members, Instant Now) {
  std::set<std::pair<ServiceName, GateId>> Present;
  for (const Member &Each : Members) {
    if (Each.Service.empty())
      continue;
    GateId Id(Each.Node, Each.Start);
    Present.emplace(Each.Service, Id);
    auto [Found, IsNew] = this->Gates[Each.Service].try_emplace(Id);
    if (IsNew)
      Found->second.FirstSeen = Now;
    Found->second.Address = Each.PeerAddress;
    Found->second.DepartedAt.reset();
  }
  for (auto &[Service, All] : this->Gates) {
    for (auto &[Id, Each] : All) {
      if (!Each.DepartedAt && !Present.contains({Service, Id}))
        Each.DepartedAt = Now;
    }
    std::erase_if(All, [&](const auto &Entry) {
      return !this->isRanked(Entry.second, Now);
    });
  }
  std::erase_if(this->Gates,
                [](const auto &Entry) { return Entry.second.empty(); });
}

bool ClaimRanking::isRanked(const Gate &Candidate, Instant Now) const {
  return !Candidate.DepartedAt ||
         *Candidate.DepartedAt + this->Times.horizon() > Now;
}

std::vector<ClaimHolder> ClaimRanking::holders(const ServiceName &Service,
                                               const std::string &Key,
                                               Instant Now) const {
  using Weighted = std::tuple<std::uint64_t, GateId, Endpoint>;
  std::vector<Weighted> Ranked;
  auto Found = this->Gates.find(Service);
  if (Found == this->Gates.end())
    return {};
  for (const auto &[Id, Each] : Found->second) {
    if (!this->isRanked(Each, Now))
      continue;
    std::string Name = Id.first.str() + '/' + std::to_string(Id.second.value());
    Ranked.emplace_back(rendezvousWeight(rankingKey(Service, Key), Name), Id,
                        Each.Address);
  }
  std::size_t Count = std::min(HolderCount, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  std::vector<ClaimHolder> Holders;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto &[Weight, Id, Address] = Ranked[Index];
    Holders.push_back({Id.first, Id.second, Address});
  }
  return Holders;
}

bool ClaimRanking::isHolder(const ServiceName &Service, const std::string &Key,
                            Instant Now) const {
  auto Holders = this->holders(Service, Key, Now);
  return std::any_of(Holders.begin(), Holders.end(),
                     [this](const ClaimHolder &Each) {
                       return GateId(Each.Node, Each.Start) == this->Self;
                     });
}

bool ClaimRanking::isMature(const ServiceName &Service, Instant Now) const {
  const Gate *Own = this->ownGate(Service);
  return Own && (this->KnownSinceCreation.contains(Service) ||
                 Own->FirstSeen + this->Times.horizon() <= Now);
}

void ClaimRanking::recordServices(
    const std::function<bool(const ServiceName &)> &Exists, Instant Now) {
  for (const auto &[Service, All] : this->Gates) {
    const Gate *Own = this->ownGate(Service);
    if (!Own)
      continue;
    if (!Exists(Service)) {
      this->AbsentServices.insert(Service);
      this->KnownSinceCreation.erase(Service);
    } else if (this->AbsentServices.erase(Service) > 0 &&
               Own->FirstSeen + MembershipSettleTime <= Now) {
      this->KnownSinceCreation.insert(Service);
    }
  }
}

const ClaimRanking::Gate *
ClaimRanking::ownGate(const ServiceName &Service) const {
  auto All = this->Gates.find(Service);
  if (All == this->Gates.end())
    return nullptr;
  auto Found = All->second.find(this->Self);
  return Found == All->second.end() ? nullptr : &Found->second;
}

} // namespace amaranthward
