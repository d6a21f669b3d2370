#ifndef AMARANTHWARD_BENCH_POLICY_SEEDRUNS_H
#define AMARANTHWARD_BENCH_POLICY_SEEDRUNS_H

#include "scenario.h"
#include <functional>

namespace amaranthward {

using Figure = std::function<double(const SessionResult &)>;

/// The results of one scenario over the seeds 1 to N.
class SeedRuns {
public:
  /// \a Vary changes the scenario by seed.
  SeedRuns(const Scenario &Of, Policy Kind, std::uint64_t Seeds,
           const std::function<void(Scenario &, std::uint64_t)> &Vary = {});

  double mean(const Figure &Of) const;
  /// The value that \a Part of all seeds do not exceed.
  double quantile(double Part, const Figure &Of) const;
  /// Number of seeds per 1,000 for which \a Of is true.
  double
  perThousand(const std::function<bool(const SessionResult &)> &Of) const;
  const std::vector<SessionResult> &results() const { return this->Results; }

private:
  std::vector<SessionResult> Results;
};

bool endedDoneOnTime(const SessionResult &Result);
/// Whether exactly one end was reported for each move that was begun.
bool endedOnce(const SessionResult &Result);

} // namespace amaranthward

#endif
