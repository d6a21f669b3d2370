#include "libpolicy/upstreamselector.h"

#include "libpolicy/choiceentry.h"
#include <algorithm>
#include <array>
#include <map>

namespace amaranthward {

namespace {

/// A gate that said it is leaving is not chosen for this long. By then the
/// member list usually says so, too; at a zone's return the gate may be late.
constexpr Duration LeavingMemory = std::chrono::seconds(1);
constexpr std::uint32_t MostDoublings = 10;

UpstreamHandle handleOf(std::uint32_t Index, std::uint32_t Generation) {
  return UpstreamHandle((std::uint64_t(Generation) << 32) | Index);
}

std::uint32_t indexOf(UpstreamHandle Handle) {
  return static_cast<std::uint32_t>(Handle.value());
}

bool contains(std::span<const UpstreamHandle> All, UpstreamHandle One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

} // namespace

class UpstreamSelector::Impl {
public:
  Impl(const UpstreamSelectorSettings &Settings, RandomFunction Random)
      : Settings(Settings), Random(std::move(Random)) {}

  void setCandidates(const std::vector<UpstreamCandidate> &All,
                     const std::set<ZoneName> &OutOfService, Instant Now);
  std::optional<UpstreamHandle> choose(Instant Now,
                                       std::span<const UpstreamHandle> Avoid,
                                       LocalityPreference Near);
  bool hasUntried(std::span<const UpstreamHandle> Tried) const;
  void finish(UpstreamHandle Handle, AttemptResult Result, Duration Latency,
              Instant Now);
  ChoiceEntry *find(UpstreamHandle Handle);
  std::size_t inService() const { return this->InService; }
  std::size_t ejected(Instant Now) const;

private:
  /// Own zone, own region, elsewhere.
  static constexpr std::size_t Tiers = 3;
  using IndexList = std::vector<std::uint32_t>;

  std::size_t tierOf(const UpstreamCandidate &One) const;
  void rebuild(Instant Now);
  ChoiceEntry *pick(const IndexList &From,
                    std::span<const UpstreamHandle> Avoid, Instant Now);
  std::optional<std::size_t> pickOne(const IndexList &From,
                                     std::span<const UpstreamHandle> Avoid,
                                     std::optional<std::size_t> Not);
  bool mayTake(std::uint32_t Index, std::span<const UpstreamHandle> Avoid);
  std::size_t mostEjected(Share Most) const;
  void releaseExcess(Instant Now);
  UpstreamHandle handleOf(const ChoiceEntry &One) const;
  void eject(ChoiceEntry &One, Share Most, Instant Now);
  void put(const UpstreamCandidate &One);

  UpstreamSelectorSettings Settings;
  RandomFunction Random;
  std::vector<ChoiceEntry> Entries;
  std::array<IndexList, Tiers> Available;
  std::size_t InService = 0;
  Instant NextReturn = Instant::max();
};

std::size_t UpstreamSelector::Impl::tierOf(const UpstreamCandidate &One) const {
  if (One.Zone == this->Settings.OwnZone)
    return 0;
  return One.Region == this->Settings.OwnRegion ? 1 : 2;
}

UpstreamHandle UpstreamSelector::Impl::handleOf(const ChoiceEntry &One) const {
  auto Index = static_cast<std::uint32_t>(&One - this->Entries.data());
  return amaranthward::handleOf(Index, One.Generation);
}

void UpstreamSelector::Impl::put(const UpstreamCandidate &One) {
  auto Free = std::find_if(this->Entries.begin(), this->Entries.end(),
                           [](const ChoiceEntry &E) { return !E.Used; });
  if (Free == this->Entries.end())
    this->Entries.emplace_back(One, 1);
  else
    *Free = ChoiceEntry(One, Free->Generation + 1);
}

void UpstreamSelector::Impl::setCandidates(
    const std::vector<UpstreamCandidate> &All,
    const std::set<ZoneName> &OutOfService, Instant Now) {
  std::map<std::pair<NodeName, Incarnation>, const UpstreamCandidate *> Wanted;
  for (const UpstreamCandidate &One : All)
    Wanted[{One.Node, One.Start}] = &One;
  for (ChoiceEntry &Entry : this->Entries) {
    if (!Entry.Used)
      continue;
    auto Found = Wanted.find({Entry.Candidate.Node, Entry.Candidate.Start});
    Entry.Used = Found != Wanted.end();
    if (!Entry.Used)
      continue;
    Entry.Candidate = *Found->second;
    Wanted.erase(Found);
  }
  for (const auto &[Key, One] : Wanted)
    this->put(*One);
  this->InService = 0;
  for (ChoiceEntry &Entry : this->Entries) {
    bool Eligible = Entry.Used && !Entry.Candidate.Leaving &&
                    !OutOfService.contains(Entry.Candidate.Zone);
    if (Eligible && !Entry.Eligible)
      Entry.expectCold();
    Entry.Eligible = Eligible;
    this->InService += Eligible ? 1 : 0;
  }
  this->releaseExcess(Now);
  this->rebuild(Now);
}

void UpstreamSelector::Impl::rebuild(Instant Now) {
  // Ejected and leaving together could be everyone; then all are tried.
  bool Everyone = std::none_of(
      this->Entries.begin(), this->Entries.end(), [&](const ChoiceEntry &One) {
        return One.Used && One.Eligible && Now >= One.awayUntil();
      });
  this->NextReturn = Instant::max();
  for (IndexList &List : this->Available)
    List.clear();
  for (std::uint32_t I = 0; I < this->Entries.size(); ++I) {
    ChoiceEntry &Entry = this->Entries[I];
    if (!Entry.Used || !Entry.Eligible)
      continue;
    Instant Back = Entry.awayUntil();
    if (Now < Back)
      this->NextReturn = std::min(this->NextReturn, Back);
    if (Now >= Back || Everyone)
      this->Available[this->tierOf(Entry.Candidate)].push_back(I);
  }
}

std::optional<UpstreamHandle>
UpstreamSelector::Impl::choose(Instant Now,
                               std::span<const UpstreamHandle> Avoid,
                               LocalityPreference Near) {
  if (Now >= this->NextReturn)
    this->rebuild(Now);
  ChoiceEntry *Best = nullptr;
  double BestCost = 0;
  // The nearest tier that has room; when none has, the cheapest pick.
  for (const IndexList &Tier : this->Available) {
    ChoiceEntry *One = this->pick(Tier, Avoid, Now);
    if (!One)
      continue;
    if (!One->isFull(Now, Near)) {
      Best = One;
      break;
    }
    double Cost = One->cost(Now);
    if (!Best || Cost < BestCost) {
      Best = One;
      BestCost = Cost;
    }
  }
  if (!Best && !Avoid.empty())
    return this->choose(Now, {}, Near);
  if (!Best)
    return std::nullopt;
  Best->begin();
  return this->handleOf(*Best);
}

bool UpstreamSelector::Impl::hasUntried(
    std::span<const UpstreamHandle> Tried) const {
  return std::any_of(
      this->Available.begin(), this->Available.end(), [&](const auto &Tier) {
        return std::any_of(Tier.begin(), Tier.end(), [&](std::uint32_t Index) {
          return !contains(Tried, this->handleOf(this->Entries[Index]));
        });
      });
}

bool UpstreamSelector::Impl::mayTake(std::uint32_t Index,
                                     std::span<const UpstreamHandle> Avoid) {
  return Avoid.empty() ||
         !contains(Avoid, this->handleOf(this->Entries[Index]));
}

// Position of a random candidate that may be taken, other than \a Not.
std::optional<std::size_t>
UpstreamSelector::Impl::pickOne(const IndexList &From,
                                std::span<const UpstreamHandle> Avoid,
                                std::optional<std::size_t> Not) {
  std::size_t Places = From.size() - (Not ? 1 : 0);
  if (Places == 0)
    return std::nullopt;
  std::size_t First = Not ? *Not + 1 : 0;
  auto Offset =
      static_cast<std::size_t>(((this->Random() >> 32) * Places) >> 32);
  for (std::size_t I = 0; I < Places; ++I) {
    std::size_t Place = (First + (Offset + I) % Places) % From.size();
    if (this->mayTake(From[Place], Avoid))
      return Place;
  }
  return std::nullopt;
}

ChoiceEntry *UpstreamSelector::Impl::pick(const IndexList &From,
                                          std::span<const UpstreamHandle> Avoid,
                                          Instant Now) {
  auto First = this->pickOne(From, Avoid, std::nullopt);
  if (!First)
    return nullptr;
  ChoiceEntry *One = &this->Entries[From[*First]];
  auto Second = this->pickOne(From, Avoid, First);
  if (!Second)
    return One;
  ChoiceEntry *Other = &this->Entries[From[*Second]];
  // By its cost a failed candidate would never be tried again. The growing
  // ejection time limits what the probes cost.
  if (One->wantsProbe() || Other->wantsProbe())
    return One->wantsProbe() ? One : Other;
  return Other->cost(Now) < One->cost(Now) ? Other : One;
}

ChoiceEntry *UpstreamSelector::Impl::find(UpstreamHandle Handle) {
  std::uint32_t Index = indexOf(Handle);
  if (Index >= this->Entries.size())
    return nullptr;
  ChoiceEntry &One = this->Entries[Index];
  return One.Used && this->handleOf(One) == Handle ? &One : nullptr;
}

std::size_t UpstreamSelector::Impl::ejected(Instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(), [&](const ChoiceEntry &One) {
        return One.Used && One.Eligible && One.isEjected(Now);
      }));
}

std::size_t UpstreamSelector::Impl::mostEjected(Share Most) const {
  if (this->InService == 0)
    return 0;
  auto Allowed = static_cast<std::size_t>(static_cast<double>(this->InService) *
                                          Most.fraction());
  return std::min(Allowed, this->InService - 1);
}

// Fewer candidates allow fewer ejections; those that end soonest end now.
void UpstreamSelector::Impl::releaseExcess(Instant Now) {
  while (this->ejected(Now) > this->mostEjected(this->Settings.MaxRefused)) {
    ChoiceEntry *Soonest = nullptr;
    for (ChoiceEntry &One : this->Entries)
      if (One.Used && One.Eligible && One.isEjected(Now) &&
          (!Soonest || One.EjectedUntil < Soonest->EjectedUntil))
        Soonest = &One;
    Soonest->EjectedUntil = Now;
  }
}

void UpstreamSelector::Impl::eject(ChoiceEntry &One, Share Most, Instant Now) {
  if (!One.Eligible || One.isEjected(Now))
    return;
  std::size_t Already = this->ejected(Now);
  auto Allowed = static_cast<std::size_t>(static_cast<double>(this->InService) *
                                          Most.fraction());
  if (Already + 1 > Allowed || Already + 1 >= this->InService)
    return;
  Duration For = this->Settings.FirstEjection *
                 (1U << std::min(One.Ejections, MostDoublings));
  For = std::min(For, this->Settings.LongestEjection);
  // Up to a quarter more, so that candidates ejected together do not return
  // together.
  For += Duration(static_cast<Duration::rep>(
      this->Random() % static_cast<std::uint64_t>(For.count() / 4 + 1)));
  One.eject(Now + For);
  this->rebuild(Now);
}

void UpstreamSelector::Impl::finish(UpstreamHandle Handle, AttemptResult Result,
                                    Duration Latency, Instant Now) {
  ChoiceEntry *One = this->find(Handle);
  if (!One)
    return;
  One->end();
  switch (Result) {
  case AttemptResult::Success:
    return One->addSuccess(Latency, Now);
  case AttemptResult::ConnectFailed:
    One->addFailure();
    return this->eject(*One, this->Settings.MaxRefused, Now);
  case AttemptResult::Failure:
  case AttemptResult::Timeout: {
    std::uint32_t Row = One->addFailure();
    if (Row >= this->Settings.FailuresToEject || One->Probing)
      this->eject(*One, this->Settings.MaxEjected, Now);
    return;
  }
  case AttemptResult::Shed:
    return One->addShed(Now);
  case AttemptResult::Leaving:
    One->LeavingUntil = Now + LeavingMemory;
    return this->rebuild(Now);
  case AttemptResult::Cancelled:
    return;
  }
}

UpstreamSelector::UpstreamSelector(std::unique_ptr<Impl> Body)
    : Body(std::move(Body)) {}
UpstreamSelector::UpstreamSelector(UpstreamSelector &&) noexcept = default;
UpstreamSelector &
UpstreamSelector::operator=(UpstreamSelector &&) noexcept = default;
UpstreamSelector::~UpstreamSelector() = default;

Result<UpstreamSelector>
UpstreamSelector::create(const UpstreamSelectorSettings &Settings,
                         RandomFunction Random) {
  if (!Random)
    return fail(ErrorCode::InvalidArgument,
                "upstream choice needs a random function");
  return UpstreamSelector(std::make_unique<Impl>(Settings, std::move(Random)));
}

void UpstreamSelector::setCandidates(const std::vector<UpstreamCandidate> &All,
                                     const std::set<ZoneName> &OutOfService,
                                     Instant Now) {
  this->Body->setCandidates(All, OutOfService, Now);
}

std::optional<UpstreamHandle>
UpstreamSelector::choose(Instant Now, std::span<const UpstreamHandle> Avoid,
                         LocalityPreference Near) {
  return this->Body->choose(Now, Avoid, Near);
}

bool UpstreamSelector::hasUntried(std::span<const UpstreamHandle> Tried) const {
  return this->Body->hasUntried(Tried);
}

void UpstreamSelector::finish(UpstreamHandle Handle, AttemptResult Result,
                              Duration Latency, Instant Now) {
  this->Body->finish(Handle, Result, Latency, Now);
}

void UpstreamSelector::hintLoad(UpstreamHandle Handle, std::uint32_t InFlight,
                                std::uint32_t Limit, Instant Now) {
  if (ChoiceEntry *One = this->Body->find(Handle))
    One->hint(InFlight, Limit, Now);
}

const UpstreamCandidate *UpstreamSelector::find(UpstreamHandle Handle) const {
  const ChoiceEntry *One = this->Body->find(Handle);
  return One ? &One->Candidate : nullptr;
}

bool UpstreamSelector::isEjected(UpstreamHandle Handle, Instant Now) const {
  const ChoiceEntry *One = this->Body->find(Handle);
  return One && One->isEjected(Now);
}

std::size_t UpstreamSelector::inService() const {
  return this->Body->inService();
}

std::size_t UpstreamSelector::ejected(Instant Now) const {
  return this->Body->ejected(Now);
}

} // namespace amaranthward
