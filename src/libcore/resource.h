#ifndef AMARANTHWARD_LIBCORE_RESOURCE_H
#define AMARANTHWARD_LIBCORE_RESOURCE_H

#include "libcore/json.h"
#include <map>
#include <string>
#include <string_view>

namespace amaranthward {

/// Distributed state by key, for example "route/orders".
using ResourceMap = std::map<std::string, Json>;

/// A new value for a resource, or its removal when \a Value is null. Refers to
/// the table or message that holds key and value.
struct ResourceUpdate {
  std::string_view Key;
  const Json *Value = nullptr;
};

} // namespace amaranthward

#endif
