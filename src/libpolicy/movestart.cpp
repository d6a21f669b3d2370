#include "libpolicy/movestart.h"

#include <utility>

namespace amaranthward {
namespace {

/// The version that gains most and by how many parts.
std::pair<VersionName, std::int64_t> largestGain(const Split &From,
                                                 const Split &To) {
  std::pair<VersionName, std::int64_t> Largest;
  for (const auto &[Version, Parts] : To) {
    std::int64_t Gain = std::int64_t(Parts.parts()) -
                        std::int64_t(shareIn(From, Version).parts());
    if (Gain > Largest.second)
      Largest = {Version, Gain};
  }
  return Largest;
}

VersionName largestOther(const Split &Shares, const VersionName &Except) {
  VersionName Largest;
  Share Most;
  for (const auto &[Version, Parts] : Shares)
    if (Version != Except && Parts > Most) {
      Largest = Version;
      Most = Parts;
    }
  return Largest;
}

} // namespace

Result<MoveStart> MoveStart::create(WallTime Now, const MoveRequest &Wanted,
                                    const Split &InForce,
                                    const std::optional<MoveState> &Last) {
  for (const Split *Shares : {&Wanted.To, &InForce})
    if (auto Checked = checkSplit(*Shares); !Checked)
      return fail(Checked.error().Code,
                  "move \"" + Wanted.Id + "\": " + Checked.error().Message);
  MoveStart Start;
  bool Replaces = Last && !Last->ended();
  if (Replaces)
    Start.Superseded =
        Last->endedAs(MovePhase::Superseded, MoveReason::NewTarget, Now);
  MoveState &Begun = Start.Begun;
  Begun.Id = Wanted.Id;
  Begun.Service = Wanted.Service;
  Begun.From = Begun.InForce = InForce;
  Begun.To = Wanted.To;
  Begun.Fallback = Replaces ? Last->Fallback : InForce;
  Begun.Driver = largestGain(InForce, Wanted.To).first;
  Begun.Candidate = largestGain(Begun.Fallback, Wanted.To).first;
  Begun.NeedsEvidence = !Begun.Candidate.empty();
  if (!Begun.NeedsEvidence)
    Begun.Candidate = largestGain(Begun.Fallback, InForce).first;
  Begun.Baseline = largestOther(Begun.Fallback, Begun.Candidate);
  Begun.StartedAt = Begun.SteppedAt = Now;
  Begun.Deadline = Wanted.Deadline;
  Begun.Probation = Wanted.Probation;
  return Start;
}

} // namespace amaranthward
