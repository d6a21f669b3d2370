#ifndef AMARANTHWARD_LIBCONFIG_CONFIGURATIONCHECK_H
#define AMARANTHWARD_LIBCONFIG_CONFIGURATIONCHECK_H

#include "libconfig/configurationset.h"
#include "libcore/finding.h"

namespace amaranthward {

/// Checks a set that was not read from YAML: names, references, prefixes,
/// weights and limits. The findings name the resource and have no line.
Findings checkConfiguration(const ConfigurationSet &Set);

} // namespace amaranthward

#endif
