#ifndef AMARANTHWARD_LIBCORE_RESOURCE_H
#define AMARANTHWARD_LIBCORE_RESOURCE_H

#include "libcore/json.h"
#include <map>
#include <string>

namespace amaranthward {

/// Distributed state by key, for example "route/orders".
using ResourceMap = std::map<std::string, Json>;

} // namespace amaranthward

#endif
