#include "libpolicy/movestart.h"

#include <utility>

namespace amaranthward {
namespace {

/// The version whose share grows most from \a From to \a To, and by how many
/// parts per 10,000; an empty name and 0 when none grows.
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

/// The version with the largest share in \a Shares, \a Except excluded.
VersionName largestOther(const Split &Shares, const VersionName &Except) {
  VersionName Largest;
  Share LargestShare;
  for (const auto &[Version, Parts] : Shares)
    if (Version != Except && Parts > LargestShare) {
      Largest = Version;
      LargestShare = Parts;
    }
  return Largest;
}

} // namespace

Result<MoveStart> MoveStart::create(WallTime Now, const MoveRequest &Request,
                                    const Split &InForce,
                                    const std::optional<MoveState> &Last) {
  for (const Split *Shares : {&Request.To, &InForce})
    if (auto Checked = checkSplit(*Shares); !Checked)
      return fail(Checked.error().Code,
                  "move \"" + Request.Id + "\": " + Checked.error().Message);
  MoveStart Start;
  bool Replaces = Last && !Last->ended();
  if (Replaces)
    Start.Superseded =
        Last->endedAs(MovePhase::Superseded, MoveReason::NewTarget, Now);
  MoveState &Begun = Start.Begun;
  Begun.Id = Request.Id;
  Begun.Service = Request.Service;
  Begun.From = Begun.InForce = InForce;
  Begun.To = Request.To;
  Begun.Fallback = Replaces ? Last->Fallback : InForce;
  Begun.Driver = largestGain(InForce, Request.To).first;
  Begun.Candidate = largestGain(Begun.Fallback, Request.To).first;
  Begun.NeedsEvidence = !Begun.Candidate.empty();
  if (!Begun.NeedsEvidence)
    Begun.Candidate = largestGain(Begun.Fallback, InForce).first;
  Begun.Baseline = largestOther(Begun.Fallback, Begun.Candidate);
  Begun.StartedAt = Begun.LastStepAt = Now;
  Begun.Deadline = Request.Deadline;
  Begun.Probation = Request.Probation;
  return Start;
}

} // namespace amaranthward
