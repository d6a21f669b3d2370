#ifndef AMARANTHWARD_LIBPOLICY_CANDIDATESTATE_H
#define AMARANTHWARD_LIBPOLICY_CANDIDATESTATE_H

#include "libpolicy/upstreamselector.h"
#include <algorithm>
#include <cstdint>

namespace amaranthward {

/// A candidate of an UpstreamSelector with its measurements and its ejection.
class CandidateState {
public:
  CandidateState(const UpstreamCandidate &Candidate, std::uint32_t Generation);

  /// Running calls as a fraction of the limit. Counts the own calls and, while
  /// the gate's last report is fresh, those of other senders in it.
  double load(Instant Now) const;
  /// Whether the load is too high for another call or the gate shed a call a
  /// moment ago. LocalityPreference::Strong permits twice the load.
  bool isFull(Instant Now,
              LocalityPreference Locality = LocalityPreference::Normal) const;
  /// Expected latency of one more call, weighted with load and failures. Only
  /// for comparison with other candidates.
  double cost(Instant Now) const;

  /// Whether the ejection is over but no call has succeeded since or is in
  /// flight. The next call then probes the candidate.
  bool needsProbe() const { return this->Probing && this->InFlight == 0; }
  /// Counts the start and the end of an attempt.
  void begin() { ++this->InFlight; }
  void end();
  void addSuccess(Duration Latency, Instant Now);
  /// Returns the number of consecutive failures.
  std::uint32_t addFailure();
  void recordShed(Instant Now) { this->ShedAt = Now; }
  /// Sets the load that the gate reported with a response.
  void setLoadReport(std::uint32_t Running, std::uint32_t Limit, Instant Now);

  void eject(Instant Until);
  /// Discards load report, failures and ejections when the candidate is back in
  /// service. It may be cold, like a new one, so it gets one call at a time
  /// until a success.
  void resetToUnknown();
  bool isEjected(Instant Now) const { return Now < this->EjectedUntil; }
  /// End of the ejection or of the time after Leaving, whichever is later.
  Instant unavailableUntil() const {
    return std::max(this->EjectedUntil, this->LeavingUntil);
  }

  UpstreamCandidate Candidate;
  /// Distinguishes the candidates that used the same slot; part of the handle.
  std::uint32_t Generation = 0;
  /// Whether the candidate is in the set; else the slot may be reused.
  bool InUse = true;
  /// Whether the candidate is in service: not leaving, nor its zone out of
  /// service.
  bool Eligible = true;
  std::uint32_t InFlight = 0;
  /// Ejections so far, halved by a successful probe. Determines the next
  /// ejection time.
  std::uint32_t Ejections = 0;
  /// Was ejected and has had no success since.
  bool Probing = false;
  Instant EjectedUntil = Instant::min();
  /// End of the time for which the candidate is not chosen because its gate
  /// answered Leaving.
  Instant LeavingUntil = Instant::min();

private:
  /// Calls that the candidate may run; 1 while it is probed or may be cold.
  double limit(Instant Now) const;
  /// Whether the last load report is still valid.
  bool hasFreshReport(Instant Now) const;

  /// Decaying peak of the latency in microseconds and when it was updated.
  double Latency = 0;
  Instant LatencyAt;
  /// Moving mean of the fraction of failed attempts.
  double FailureRate = 0;
  std::uint32_t ConsecutiveFailures = 0;
  /// Last load report; a limit of 0 means none.
  std::uint32_t ReportedInFlight = 0;
  std::uint32_t ReportedLimit = 0;
  /// Own calls in flight when the report arrived.
  std::uint32_t InFlightAtReport = 0;
  Instant ReportedAt;
  Instant ShedAt = Instant::min();
  /// No success yet, so the upstream may be cold.
  bool NoResponseYet = true;
};

} // namespace amaranthward

#endif
