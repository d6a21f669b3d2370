#ifndef AMARANTHWARD_LIBCONFIG_RESOURCES_H
#define AMARANTHWARD_LIBCONFIG_RESOURCES_H

#include "libconfig/configurationset.h"
#include "libcore/resource.h"

namespace amaranthward {

/// The resources that follow from the set alone: set, mesh, zone/, service/
/// and route/. The replicated state machine adds split/, move/ and bad/.
/// \param Digest of the set, where it is known already.
ResourceMap resourcesOf(const ConfigurationSet &Set, std::string Digest = {});

} // namespace amaranthward

#endif
