#ifndef AMARANTHWARD_LIBPOLICY_CHOICEENTRY_H
#define AMARANTHWARD_LIBPOLICY_CHOICEENTRY_H

#include "libpolicy/upstreamselector.h"
#include <algorithm>
#include <cstdint>

namespace amaranthward {

/// One candidate of an UpstreamSelector with what was measured of it.
class ChoiceEntry {
public:
  ChoiceEntry(const UpstreamCandidate &Candidate, std::uint32_t Generation);

  /// Work in flight as a part of the limit: the own count, or the gate's
  /// report while it is fresh and higher.
  double load(Instant Now) const;
  bool isFull(Instant Now,
              LocalityPreference Near = LocalityPreference::Normal) const;
  /// Expected latency for one more call, in relative units.
  double cost(Instant Now) const;

  /// Its ejection is over and the one call that tests it is not under way.
  bool wantsProbe() const { return this->Probing && this->InFlight == 0; }
  void begin() { ++this->InFlight; }
  void end();
  void addSuccess(Duration Latency, Instant Now);
  /// Returns the failures in a row.
  std::uint32_t addFailure();
  void addShed(Instant Now) { this->ShedAt = Now; }
  void hint(std::uint32_t Running, std::uint32_t Limit, Instant Now);

  void eject(Instant Until);
  /// Back in service: as unknown as a new candidate.
  void expectCold();
  bool isEjected(Instant Now) const { return Now < this->EjectedUntil; }
  /// Not to be chosen before this time.
  Instant awayUntil() const {
    return std::max(this->EjectedUntil, this->LeavingUntil);
  }

  UpstreamCandidate Candidate;
  std::uint32_t Generation = 0;
  bool Used = true;
  bool Eligible = true;
  std::uint32_t InFlight = 0;
  std::uint32_t Ejections = 0;
  /// Was ejected and has not answered since.
  bool Probing = false;
  Instant EjectedUntil = Instant::min();
  /// Its gate refused because it is leaving.
  Instant LeavingUntil = Instant::min();

private:
  double limit(Instant Now) const;
  bool hinted(Instant Now) const;

  double Latency = 0;
  Instant LatencyAt;
  double FailureRate = 0;
  std::uint32_t FailuresInRow = 0;
  std::uint32_t HintRunning = 0;
  std::uint32_t HintLimit = 0;
  std::uint32_t InFlightAtHint = 0;
  Instant HintAt;
  Instant ShedAt = Instant::min();
  /// No response yet, so it may be cold.
  bool Unknown = true;
};

} // namespace amaranthward

#endif
