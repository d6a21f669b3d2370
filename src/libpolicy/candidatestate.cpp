#include "libpolicy/candidatestate.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

namespace {

/// Time constant of the decay of a latency peak in microseconds.
constexpr double LatencyDecayMicros = 2e6;
/// Assumed latency before the first response in microseconds. Low, so that a
/// new candidate is tried soon.
constexpr double UnknownLatencyMicros = 1000;
/// Weight of one attempt in the failure rate.
constexpr double FailureWeight = 0.1;
/// A candidate that always fails costs 1 + this times as much.
constexpr double FailurePenalty = 20;
/// Time for which a candidate counts as full after its gate shed a call.
constexpr Duration ShedTimeout = std::chrono::milliseconds(30);
/// Load at and above which a candidate counts as full.
constexpr double FullLoad = 0.95;

} // namespace

CandidateState::CandidateState(const UpstreamCandidate &Candidate,
                               std::uint32_t Generation)
    : Candidate(Candidate), Generation(Generation) {}

bool CandidateState::hasFreshReport(Instant Now) const {
  return this->ReportedLimit > 0 &&
         Now - this->ReportedAt <= UpstreamSelector::HintTimeout;
}

double CandidateState::limit(Instant Now) const {
  std::uint32_t Slots = std::max(1U, this->Candidate.Slots);
  if (this->Probing || this->NoResponseYet)
    return 1;
  return this->hasFreshReport(Now) ? std::min(Slots, this->ReportedLimit)
                                   : Slots;
}

double CandidateState::load(Instant Now) const {
  double Running = this->InFlight;
  if (this->hasFreshReport(Now)) {
    // The report provides the calls of other senders; the own ones are counted
    // exactly.
    double Others = this->ReportedInFlight > this->InFlightAtReport
                        ? this->ReportedInFlight - this->InFlightAtReport
                        : 0;
    Running += Others;
  }
  return Running / this->limit(Now);
}

bool CandidateState::isFull(Instant Now, LocalityPreference Locality) const {
  double Full =
      Locality == LocalityPreference::Strong ? 2 * FullLoad : FullLoad;
  return this->load(Now) >= Full ||
         (this->ShedAt != Instant::min() && Now - this->ShedAt < ShedTimeout);
}

double CandidateState::cost(Instant Now) const {
  // The estimate falls while there are no measurements, so that a candidate
  // that was slow once is tried again.
  auto Age = static_cast<double>((Now - this->LatencyAt).count());
  double Expected =
      this->Latency / (1 + std::max(0.0, Age) / LatencyDecayMicros);
  if (this->Latency <= 0)
    Expected = UnknownLatencyMicros;
  double Cost = Expected * (this->load(Now) + 1 / this->limit(Now)) *
                (1 + FailurePenalty * this->FailureRate);
  return this->isFull(Now) ? Cost * 4 : Cost;
}

void CandidateState::end() {
  if (this->InFlight > 0)
    --this->InFlight;
}

void CandidateState::addSuccess(Duration Took, Instant Now) {
  auto Micros = static_cast<double>(std::max<Duration::rep>(1, Took.count()));
  if (Micros >= this->Latency) {
    this->Latency = Micros;
  } else {
    auto Elapsed = static_cast<double>((Now - this->LatencyAt).count());
    double Decay = std::exp(-Elapsed / LatencyDecayMicros);
    this->Latency = Micros + (this->Latency - Micros) * Decay;
  }
  this->LatencyAt = Now;
  this->FailureRate -= this->FailureRate * FailureWeight;
  this->ConsecutiveFailures = 0;
  this->NoResponseYet = false;
  if (this->Probing) {
    this->Probing = false;
    this->Ejections = this->Ejections / 2;
  }
}

std::uint32_t CandidateState::addFailure() {
  this->FailureRate += (1 - this->FailureRate) * FailureWeight;
  return ++this->ConsecutiveFailures;
}

void CandidateState::setLoadReport(std::uint32_t Running, std::uint32_t Limit,
                                   Instant Now) {
  this->ReportedInFlight = Running;
  this->ReportedLimit = std::max(1U, Limit);
  this->InFlightAtReport = this->InFlight;
  this->ReportedAt = Now;
}

void CandidateState::resetToUnknown() {
  this->NoResponseYet = true;
  this->ReportedLimit = 0;
  this->ConsecutiveFailures = 0;
  this->FailureRate = 0;
  this->Ejections = 0;
  this->EjectedUntil = Instant::min();
  this->Probing = false;
}

void CandidateState::eject(Instant Until) {
  ++this->Ejections;
  this->EjectedUntil = Until;
  this->Probing = true;
  this->ConsecutiveFailures = 0;
}

} // namespace amaranthward
