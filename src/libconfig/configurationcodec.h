#ifndef AMARANTHWARD_LIBCONFIG_CONFIGURATIONCODEC_H
#define AMARANTHWARD_LIBCONFIG_CONFIGURATIONCODEC_H

#include "libconfig/configurationset.h"
#include "libcore/json.h"
#include <string>

namespace amaranthward {

/// Canonical form: lists of named things are sorted by name, durations are in
/// microseconds and shares in parts per 10,000.
Json toJson(const ConfigurationSet &Set);

/// Inverse of \a toJson. Fails with InvalidArgument when a field is missing or
/// has the wrong type. Checks of the reader are not repeated.
Result<ConfigurationSet> configurationFromJson(const Json &Value);

/// SHA-256 of the canonical JSON in lower-case hexadecimal.
std::string digestOf(const ConfigurationSet &Set);

} // namespace amaranthward

#endif
