#include "libcore/finding.h"

#include <algorithm>

namespace amaranthward {

bool hasErrors(const Findings &All) {
  return std::any_of(All.begin(), All.end(), [](const Finding &One) {
    return One.Level == Severity::Error;
  });
}

std::string toString(const Finding &One) {
  std::string Text = One.Where.File;
  if (One.Where.Line > 0) {
    Text += ':' + std::to_string(One.Where.Line) + ':' +
            std::to_string(One.Where.Column);
  }
  Text += One.Level == Severity::Error ? ": error: " : ": warning: ";
  Text += One.Message;
  if (!One.Remedy.empty())
    Text += " (" + One.Remedy + ')';
  return Text;
}

} // namespace amaranthward
