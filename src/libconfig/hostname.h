#ifndef AMARANTHWARD_LIBCONFIG_HOSTNAME_H
#define AMARANTHWARD_LIBCONFIG_HOSTNAME_H

#include <string>
#include <string_view>

namespace amaranthward {

/// A host as routes compare it: in lower case, without the port. Empty for a
/// text that consists of a port only.
std::string normalizedHost(std::string_view Host);

} // namespace amaranthward

#endif
