#ifndef AMARANTHWARD_AMARANTHCTL_REPORTS_H
#define AMARANTHWARD_AMARANTHCTL_REPORTS_H

#include "libcore/finding.h"
#include "libcore/json.h"
#include <string>

namespace amaranthward {

/// Texts for people from the JSON of a control replica. Missing fields show as
/// empty or zero.
std::string statusReport(const Json &Status);
std::string historyReport(const Json &History);
/// One line without line break for a move event.
std::string moveLine(const Json &Event);
/// "in force on 12 of 13 nodes".
std::string inForceText(const Json &Status);
/// "v1 90%, v2 10%".
std::string splitText(const Json &Split);
/// Findings of a refused set, under the name of the operator's file.
std::string findingsReport(const Json &Body, const std::string &FileName);
std::string findingsReport(const Findings &All);
/// The same shape as a replica's answer.
Json findingsJson(const Findings &All);

} // namespace amaranthward

#endif
