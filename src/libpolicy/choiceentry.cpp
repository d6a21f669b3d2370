#include "libpolicy/choiceentry.h"

#include <algorithm>
#include <cmath>

namespace amaranthward {

namespace {

/// Time in which an old peak of latency loses 63% of its effect.
constexpr double LatencyMemory = 2e6;
/// Microseconds; low, so that a new candidate is tried soon.
constexpr double UnknownLatency = 1000;
constexpr double FailureWeight = 0.1;
/// A candidate that always fails looks this many times slower.
constexpr double FailurePenalty = 20;
/// A gate that shed a call is taken as full for this long.
constexpr Duration ShedMemory = std::chrono::milliseconds(30);
/// Load from which a candidate has no room.
constexpr double FullLoad = 0.95;

} // namespace

ChoiceEntry::ChoiceEntry(const UpstreamCandidate &Candidate,
                         std::uint32_t Generation)
    : Candidate(Candidate), Generation(Generation) {}

bool ChoiceEntry::hinted(Instant Now) const {
  return this->HintLimit > 0 &&
         Now - this->HintAt <= UpstreamSelector::HintLife;
}

double ChoiceEntry::limit(Instant Now) const {
  std::uint32_t Slots = std::max(1U, this->Candidate.Slots);
  if (this->Probing || this->Unknown)
    return 1;
  return this->hinted(Now) ? std::min(Slots, this->HintLimit) : Slots;
}

double ChoiceEntry::load(Instant Now) const {
  double Running = this->InFlight;
  if (this->hinted(Now)) {
    // Calls of other senders from the report, own ones as they are now.
    double Others = this->HintRunning > this->InFlightAtHint
                        ? this->HintRunning - this->InFlightAtHint
                        : 0;
    Running += Others;
  }
  return Running / this->limit(Now);
}

bool ChoiceEntry::isFull(Instant Now, LocalityPreference Near) const {
  double Full = Near == LocalityPreference::Strong ? 2 * FullLoad : FullLoad;
  return this->load(Now) >= Full ||
         (this->ShedAt != Instant::min() && Now - this->ShedAt < ShedMemory);
}

double ChoiceEntry::cost(Instant Now) const {
  // Not measured for some time, the estimate falls, so that a candidate that
  // was slow once is tried again.
  auto Age = static_cast<double>((Now - this->LatencyAt).count());
  double Expected = this->Latency / (1 + std::max(0.0, Age) / LatencyMemory);
  if (this->Latency <= 0)
    Expected = UnknownLatency;
  double Cost = Expected * (this->load(Now) + 1 / this->limit(Now)) *
                (1 + FailurePenalty * this->FailureRate);
  return this->isFull(Now) ? Cost * 4 : Cost;
}

void ChoiceEntry::end() {
  if (this->InFlight > 0)
    --this->InFlight;
}

void ChoiceEntry::addSuccess(Duration Took, Instant Now) {
  auto Micros = static_cast<double>(std::max<Duration::rep>(1, Took.count()));
  if (Micros >= this->Latency) {
    this->Latency = Micros;
  } else {
    auto Since = static_cast<double>((Now - this->LatencyAt).count());
    double Kept = std::exp(-Since / LatencyMemory);
    this->Latency = Micros + (this->Latency - Micros) * Kept;
  }
  this->LatencyAt = Now;
  this->FailureRate -= this->FailureRate * FailureWeight;
  this->FailuresInRow = 0;
  this->Unknown = false;
  if (this->Probing) {
    this->Probing = false;
    this->Ejections = this->Ejections / 2;
  }
}

std::uint32_t ChoiceEntry::addFailure() {
  this->FailureRate += (1 - this->FailureRate) * FailureWeight;
  return ++this->FailuresInRow;
}

void ChoiceEntry::hint(std::uint32_t Running, std::uint32_t Limit,
                       Instant Now) {
  this->HintRunning = Running;
  this->HintLimit = std::max(1U, Limit);
  this->InFlightAtHint = this->InFlight;
  this->HintAt = Now;
}

void ChoiceEntry::expectCold() {
  this->Unknown = true;
  this->HintLimit = 0;
  this->FailuresInRow = 0;
  this->FailureRate = 0;
  this->Ejections = 0;
  this->EjectedUntil = Instant::min();
  this->Probing = false;
}

void ChoiceEntry::eject(Instant Until) {
  ++this->Ejections;
  this->EjectedUntil = Until;
  this->Probing = true;
  this->FailuresInRow = 0;
}

} // namespace amaranthward
