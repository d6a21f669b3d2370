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

/// Identity of a set, SHA-256 in lower-case hexadecimal: of the text as the
/// operator sent it where the set keeps it, else of the canonical JSON. A text
/// with another order of keys is another set.
std::string digestOf(const ConfigurationSet &Set);

/// SHA-256 of the canonical JSON, which lacks the fields that are not decoded.
/// Earlier builds stored it as the digest of a set that keeps its text.
std::string formerDigestOf(const ConfigurationSet &Set);

} // namespace amaranthward

#endif
