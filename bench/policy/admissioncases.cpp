#include "admissioncases.h"

#include "cases.h"

namespace amaranthward {

void runAdmissionCases(Report &Into) {
  runGateCases(Into);
  runChoiceCases(Into);
  runZoneCases(Into);
}

} // namespace amaranthward
