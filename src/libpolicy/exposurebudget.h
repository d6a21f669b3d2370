#ifndef AMARANTHWARD_LIBPOLICY_EXPOSUREBUDGET_H
#define AMARANTHWARD_LIBPOLICY_EXPOSUREBUDGET_H

#include "libpolicy/moveinputs.h"
#include "libpolicy/movestate.h"

namespace amaranthward {

/// Largest number of calls that a candidate may get from the start of its move
/// to the deadline if it turns out to be bad: a part of all calls of the
/// service in that time, and some calls more.
struct ExposureLimit {
  Share Part = Share(1000);
  std::uint64_t Calls = 50;
};

/// The calls of a candidate compared with its ExposureLimit. Calls that the
/// candidate answered well count like others, because it may still turn bad.
class ExposureBudget {
public:
  static ExposureBudget create(const MoveState &State, const MoveInputs &In,
                               const ExposureLimit &Limit);

  /// Calls that the candidate may get by the deadline, given the call rate so
  /// far; 0 while that is unknown.
  double allowed() const { return this->Allowed; }
  /// Calls that the candidate is known to have had beyond its fallback share.
  double used() const { return this->Used; }

private:
  ExposureBudget(double Allowed, double Used) : Allowed(Allowed), Used(Used) {}

  double Allowed;
  double Used;
};

} // namespace amaranthward

#endif
