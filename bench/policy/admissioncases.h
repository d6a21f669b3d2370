#ifndef AMARANTHWARD_BENCH_POLICY_ADMISSIONCASES_H
#define AMARANTHWARD_BENCH_POLICY_ADMISSIONCASES_H

#include "report.h"

namespace amaranthward {

/// One gate: cold start, an upstream that turns cold again, misleading load
/// reports, overload.
void runGateCases(Report &Into);
/// Choice of upstreams, ejection and retries.
void runChoiceCases(Report &Into);
/// A zone leaves and returns, at the sizes of both sites.
void runZoneCases(Report &Into);

} // namespace amaranthward

#endif
