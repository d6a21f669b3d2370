#ifndef AMARANTHWARD_LIBCORE_FINDING_H
#define AMARANTHWARD_LIBCORE_FINDING_H

#include <string>
#include <vector>

namespace amaranthward {

enum class Severity { Warning, Error };

/// A position in a text file. Line and column count from 1; 0 is unknown.
struct Place {
  std::string File;
  int Line = 0;
  int Column = 0;
};

/// One problem in an operator's input, with what to do about it.
struct Finding {
  Severity Level = Severity::Error;
  Place Where;
  std::string Message;
  std::string Remedy;
};

using Findings = std::vector<Finding>;

bool hasErrors(const Findings &All);
/// "FILE:LINE:COLUMN: error: MESSAGE (REMEDY)".
std::string toString(const Finding &One);

} // namespace amaranthward

#endif
