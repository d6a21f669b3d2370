#include "libpolicy/upstreamselector.h"

#include "libpolicy/candidatestate.h"
#include <algorithm>
#include <array>
#include <map>

namespace amaranthward {

namespace {

/// Time for which a candidate whose gate answered Leaving is not chosen. By
/// then the list of candidates usually reflects it. The time is limited because
/// the gates of a zone that returns to service may learn of it late.
constexpr Duration LeavingTimeout = std::chrono::seconds(1);
/// Bounds the exponent of the ejection time, so that it does not overflow.
constexpr std::uint32_t MaxDoublings = 10;

UpstreamHandle handleOf(std::uint32_t Index, std::uint32_t Generation) {
  return UpstreamHandle((std::uint64_t(Generation) << 32) | Index);
}

std::uint32_t indexOf(UpstreamHandle Handle) {
  return static_cast<std::uint32_t>(Handle.value());
}

bool contains(std::span<const UpstreamHandle> All, UpstreamHandle Handle) {
  return std::find(All.begin(), All.end(), Handle) != All.end();
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
                                       LocalityPreference Locality);
  bool hasUntried(std::span<const UpstreamHandle> Tried) const;
  void finish(UpstreamHandle Handle, AttemptResult Result, Duration Latency,
              Instant Now);
  CandidateState *find(UpstreamHandle Handle);
  std::size_t inService() const { return this->InService; }
  std::size_t ejected(Instant Now) const;

private:
  /// Number of locality tiers: own zone, own region, other regions.
  static constexpr std::size_t Tiers = 3;
  /// Indexes into Entries.
  using IndexList = std::vector<std::uint32_t>;

  std::size_t tierOf(const UpstreamCandidate &Candidate) const;
  /// Recomputes the available candidates of each tier.
  void rebuild(Instant Now);
  /// The better of two random candidates; null when none is allowed.
  CandidateState *pickOfTwo(const IndexList &From,
                            std::span<const UpstreamHandle> Avoid, Instant Now);
  /// Position in \a From of a random candidate that is not in \a Avoid and not
  /// at \a Excluded; none when there is none.
  std::optional<std::size_t> pickRandom(const IndexList &From,
                                        std::span<const UpstreamHandle> Avoid,
                                        std::optional<std::size_t> Excluded);
  bool isAllowed(std::uint32_t Index, std::span<const UpstreamHandle> Avoid);
  /// Maximum number of ejected candidates with the given share.
  std::size_t maxEjected(Share MaxShare) const;
  /// Ends ejections until their number is within the limit.
  void releaseExcess(Instant Now);
  UpstreamHandle handleOf(const CandidateState &Entry) const;
  /// Ejects the candidate unless that would exceed the share \a MaxShare.
  void eject(CandidateState &Entry, Share MaxShare, Instant Now);
  void addCandidate(const UpstreamCandidate &Candidate);

  UpstreamSelectorSettings Settings;
  RandomFunction Random;
  /// Slots for candidates. Those of removed candidates are reused, with a
  /// higher generation.
  std::vector<CandidateState> Entries;
  /// Candidates that may be chosen at present, nearest tier first.
  std::array<IndexList, Tiers> Available;
  std::size_t InService = 0;
  /// Earliest time at which an unavailable candidate becomes available.
  Instant NextAvailable = Instant::max();
};

std::size_t
UpstreamSelector::Impl::tierOf(const UpstreamCandidate &Candidate) const {
  if (Candidate.Zone == this->Settings.OwnZone)
    return 0;
  return Candidate.Region == this->Settings.OwnRegion ? 1 : 2;
}

UpstreamHandle
UpstreamSelector::Impl::handleOf(const CandidateState &Entry) const {
  auto Index = static_cast<std::uint32_t>(&Entry - this->Entries.data());
  return amaranthward::handleOf(Index, Entry.Generation);
}

void UpstreamSelector::Impl::addCandidate(const UpstreamCandidate &Candidate) {
  auto Free = std::find_if(this->Entries.begin(), this->Entries.end(),
                           [](const CandidateState &E) { return !E.InUse; });
  if (Free == this->Entries.end())
    this->Entries.emplace_back(Candidate, 1);
  else
    *Free = CandidateState(Candidate, Free->Generation + 1);
}

void UpstreamSelector::Impl::setCandidates(
    const std::vector<UpstreamCandidate> &All,
    const std::set<ZoneName> &OutOfService, Instant Now) {
  std::map<std::pair<NodeName, Incarnation>, const UpstreamCandidate *> Wanted;
  for (const UpstreamCandidate &Candidate : All)
    Wanted[{Candidate.Node, Candidate.Start}] = &Candidate;
  for (CandidateState &Entry : this->Entries) {
    if (!Entry.InUse)
      continue;
    auto Found = Wanted.find({Entry.Candidate.Node, Entry.Candidate.Start});
    Entry.InUse = Found != Wanted.end();
    if (!Entry.InUse)
      continue;
    Entry.Candidate = *Found->second;
    Wanted.erase(Found);
  }
  for (const auto &[Key, Candidate] : Wanted)
    this->addCandidate(*Candidate);
  this->InService = 0;
  for (CandidateState &Entry : this->Entries) {
    bool Eligible = Entry.InUse && !Entry.Candidate.Leaving &&
                    !OutOfService.contains(Entry.Candidate.Zone);
    if (Eligible && !Entry.Eligible)
      Entry.resetToUnknown();
    Entry.Eligible = Eligible;
    this->InService += Eligible ? 1 : 0;
  }
  this->releaseExcess(Now);
  this->rebuild(Now);
}

void UpstreamSelector::Impl::rebuild(Instant Now) {
  // All candidates may be ejected or leaving; then all are used regardless.
  bool AllUnavailable = std::none_of(this->Entries.begin(), this->Entries.end(),
                                     [&](const CandidateState &Entry) {
                                       return Entry.InUse && Entry.Eligible &&
                                              Now >= Entry.unavailableUntil();
                                     });
  this->NextAvailable = Instant::max();
  for (IndexList &List : this->Available)
    List.clear();
  for (std::uint32_t I = 0; I < this->Entries.size(); ++I) {
    CandidateState &Entry = this->Entries[I];
    if (!Entry.InUse || !Entry.Eligible)
      continue;
    Instant AvailableAt = Entry.unavailableUntil();
    if (Now < AvailableAt)
      this->NextAvailable = std::min(this->NextAvailable, AvailableAt);
    if (Now >= AvailableAt || AllUnavailable)
      this->Available[this->tierOf(Entry.Candidate)].push_back(I);
  }
}

std::optional<UpstreamHandle>
UpstreamSelector::Impl::choose(Instant Now,
                               std::span<const UpstreamHandle> Avoid,
                               LocalityPreference Locality) {
  if (Now >= this->NextAvailable)
    this->rebuild(Now);
  CandidateState *Best = nullptr;
  double BestCost = 0;
  // Takes the nearest tier whose pick has room, else the pick of lowest cost.
  for (const IndexList &Tier : this->Available) {
    CandidateState *Pick = this->pickOfTwo(Tier, Avoid, Now);
    if (!Pick)
      continue;
    if (!Pick->isFull(Now, Locality)) {
      Best = Pick;
      break;
    }
    double Cost = Pick->cost(Now);
    if (!Best || Cost < BestCost) {
      Best = Pick;
      BestCost = Cost;
    }
  }
  if (!Best && !Avoid.empty())
    return this->choose(Now, {}, Locality);
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

bool UpstreamSelector::Impl::isAllowed(std::uint32_t Index,
                                       std::span<const UpstreamHandle> Avoid) {
  return Avoid.empty() ||
         !contains(Avoid, this->handleOf(this->Entries[Index]));
}

std::optional<std::size_t>
UpstreamSelector::Impl::pickRandom(const IndexList &From,
                                   std::span<const UpstreamHandle> Avoid,
                                   std::optional<std::size_t> Excluded) {
  std::size_t Choices = From.size() - (Excluded ? 1 : 0);
  if (Choices == 0)
    return std::nullopt;
  std::size_t First = Excluded ? *Excluded + 1 : 0;
  auto Offset =
      static_cast<std::size_t>(((this->Random() >> 32) * Choices) >> 32);
  for (std::size_t I = 0; I < Choices; ++I) {
    std::size_t Place = (First + (Offset + I) % Choices) % From.size();
    if (this->isAllowed(From[Place], Avoid))
      return Place;
  }
  return std::nullopt;
}

CandidateState *UpstreamSelector::Impl::pickOfTwo(
    const IndexList &From, std::span<const UpstreamHandle> Avoid, Instant Now) {
  auto First = this->pickRandom(From, Avoid, std::nullopt);
  if (!First)
    return nullptr;
  CandidateState *Entry = &this->Entries[From[*First]];
  auto Second = this->pickRandom(From, Avoid, First);
  if (!Second)
    return Entry;
  CandidateState *Other = &this->Entries[From[*Second]];
  // A probe takes precedence: by cost alone, a candidate that failed would
  // never be tried again. The growing ejection time bounds the number of
  // probes.
  if (Entry->needsProbe() || Other->needsProbe())
    return Entry->needsProbe() ? Entry : Other;
  return Other->cost(Now) < Entry->cost(Now) ? Other : Entry;
}

CandidateState *UpstreamSelector::Impl::find(UpstreamHandle Handle) {
  std::uint32_t Index = indexOf(Handle);
  if (Index >= this->Entries.size())
    return nullptr;
  CandidateState &Entry = this->Entries[Index];
  return Entry.InUse && this->handleOf(Entry) == Handle ? &Entry : nullptr;
}

std::size_t UpstreamSelector::Impl::ejected(Instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [&](const CandidateState &Entry) {
        return Entry.InUse && Entry.Eligible && Entry.isEjected(Now);
      }));
}

std::size_t UpstreamSelector::Impl::maxEjected(Share MaxShare) const {
  if (this->InService == 0)
    return 0;
  auto Allowed = static_cast<std::size_t>(static_cast<double>(this->InService) *
                                          MaxShare.fraction());
  return std::min(Allowed, this->InService - 1);
}

// When fewer candidates are in service, fewer may be ejected. The ejections
// that would end first are ended at once.
void UpstreamSelector::Impl::releaseExcess(Instant Now) {
  while (this->ejected(Now) >
         this->maxEjected(this->Settings.MaxEjectedWithConnectFailures)) {
    CandidateState *Soonest = nullptr;
    for (CandidateState &Entry : this->Entries)
      if (Entry.InUse && Entry.Eligible && Entry.isEjected(Now) &&
          (!Soonest || Entry.EjectedUntil < Soonest->EjectedUntil))
        Soonest = &Entry;
    Soonest->EjectedUntil = Now;
  }
}

void UpstreamSelector::Impl::eject(CandidateState &Entry, Share MaxShare,
                                   Instant Now) {
  if (!Entry.Eligible || Entry.isEjected(Now))
    return;
  std::size_t Already = this->ejected(Now);
  auto Allowed = static_cast<std::size_t>(static_cast<double>(this->InService) *
                                          MaxShare.fraction());
  if (Already + 1 > Allowed || Already + 1 >= this->InService)
    return;
  Duration EjectionTime = this->Settings.InitialEjectionTime *
                          (1U << std::min(Entry.Ejections, MaxDoublings));
  EjectionTime = std::min(EjectionTime, this->Settings.MaxEjectionTime);
  // A random extension of up to a quarter, so that candidates that were ejected
  // together do not return together.
  EjectionTime += Duration(static_cast<Duration::rep>(
      this->Random() %
      static_cast<std::uint64_t>(EjectionTime.count() / 4 + 1)));
  Entry.eject(Now + EjectionTime);
  this->rebuild(Now);
}

void UpstreamSelector::Impl::finish(UpstreamHandle Handle, AttemptResult Result,
                                    Duration Latency, Instant Now) {
  CandidateState *Entry = this->find(Handle);
  if (!Entry)
    return;
  Entry->end();
  switch (Result) {
  case AttemptResult::Success:
    return Entry->addSuccess(Latency, Now);
  case AttemptResult::ConnectFailed:
    Entry->addFailure();
    return this->eject(*Entry, this->Settings.MaxEjectedWithConnectFailures,
                       Now);
  case AttemptResult::Failure:
  case AttemptResult::Timeout: {
    std::uint32_t Failures = Entry->addFailure();
    if (Failures >= this->Settings.FailuresToEject || Entry->Probing)
      this->eject(*Entry, this->Settings.MaxEjected, Now);
    return;
  }
  case AttemptResult::Shed:
    return Entry->recordShed(Now);
  case AttemptResult::Leaving:
    Entry->LeavingUntil = Now + LeavingTimeout;
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
                "the upstream selector needs a random function");
  return UpstreamSelector(std::make_unique<Impl>(Settings, std::move(Random)));
}

void UpstreamSelector::setCandidates(const std::vector<UpstreamCandidate> &All,
                                     const std::set<ZoneName> &OutOfService,
                                     Instant Now) {
  this->Body->setCandidates(All, OutOfService, Now);
}

std::optional<UpstreamHandle>
UpstreamSelector::choose(Instant Now, std::span<const UpstreamHandle> Avoid,
                         LocalityPreference Locality) {
  return this->Body->choose(Now, Avoid, Locality);
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
  if (CandidateState *Entry = this->Body->find(Handle))
    Entry->setLoadReport(InFlight, Limit, Now);
}

const UpstreamCandidate *UpstreamSelector::find(UpstreamHandle Handle) const {
  const CandidateState *Entry = this->Body->find(Handle);
  return Entry ? &Entry->Candidate : nullptr;
}

bool UpstreamSelector::isEjected(UpstreamHandle Handle, Instant Now) const {
  const CandidateState *Entry = this->Body->find(Handle);
  return Entry && Entry->isEjected(Now);
}

std::size_t UpstreamSelector::inService() const {
  return this->Body->inService();
}

std::size_t UpstreamSelector::ejected(Instant Now) const {
  return this->Body->ejected(Now);
}

} // namespace amaranthward
