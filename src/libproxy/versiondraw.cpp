#include "libproxy/versiondraw.h"
#include "libcore/json.h"
#include <algorithm>

namespace amaranthward {

namespace {

VersionName versionInMove(const RoutingView &View, const ServiceName &Service,
                          const char *Key) {
  const Json *Move = View.openMove(Service);
  return Move ? VersionName(textAt(*Move, Key)) : VersionName();
}

struct Weight {
  VersionName Version;
  std::uint32_t Parts = 0;
};

std::vector<Weight> weightsOf(const RoutingView &View,
                              const ServiceName &Service,
                              const ShareLimits &Limits) {
  std::vector<Weight> All;
  for (const auto &[Version, Part] : View.split(Service)) {
    if (View.isBad(Service, Version))
      continue;
    std::uint32_t Parts = Part.parts();
    auto Limit = Limits.find({Service, Version});
    if (Limit != Limits.end())
      Parts = std::min(Parts, Limit->second.parts());
    All.push_back({Version, Parts});
  }
  return All;
}

/// The version that takes the share which the others leave: the baseline, or
/// without one the version with the largest share that is not the candidate.
/// Null when there is none.
Weight *remainderOf(std::vector<Weight> &All, const VersionName &Baseline,
                    const VersionName &Candidate) {
  Weight *Best = nullptr;
  for (Weight &Each : All) {
    if (Each.Version == Baseline)
      return &Each;
    if (Each.Version != Candidate && Each.Parts > 0 &&
        (!Best || Each.Parts > Best->Parts))
      Best = &Each;
  }
  return Best;
}

} // namespace

VersionName candidateOf(const RoutingView &View, const ServiceName &Service) {
  return versionInMove(View, Service, "candidate");
}

VersionName baselineOf(const RoutingView &View, const ServiceName &Service) {
  return versionInMove(View, Service, "baseline");
}

std::vector<VersionName> drawVersions(const RoutingView &View,
                                      const ServiceName &Service,
                                      const ShareLimits &Limits,
                                      std::uint64_t Random) {
  if (View.hasAnnouncedVersions(Service) && View.split(Service).empty())
    return {AnyVersion};
  std::vector<Weight> All = weightsOf(View, Service, Limits);
  VersionName Candidate = candidateOf(View, Service);
  std::uint32_t Sum = 0;
  for (const Weight &Each : All)
    Sum += Each.Parts;
  Weight *Rest = remainderOf(All, baselineOf(View, Service), Candidate);
  if (Rest && Sum < Share::Whole) {
    Rest->Parts += Share::Whole - Sum;
    Sum = Share::Whole;
  }
  if (Sum == 0)
    return {};
  auto Point = static_cast<std::uint32_t>(Random % Sum);
  std::vector<VersionName> Order;
  for (const Weight &Each : All) {
    if (Point < Each.Parts) {
      Order.push_back(Each.Version);
      break;
    }
    Point -= Each.Parts;
  }
  std::stable_sort(
      All.begin(), All.end(),
      [](const Weight &L, const Weight &R) { return L.Parts > R.Parts; });
  for (const Weight &Each : All)
    if (Each.Parts > 0 && Each.Version != Candidate &&
        Each.Version != Order.front())
      Order.push_back(Each.Version);
  return Order;
}

} // namespace amaranthward
