#include "cases.h"
namespace amaranthward {
void runAnalysisMethodCases(Report &) {}
} // namespace amaranthward
