#ifndef AMARANTHWARD_LIBCORE_JSON_H
#define AMARANTHWARD_LIBCORE_JSON_H

#include "libcore/result.h"
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace amaranthward {

using Json = nlohmann::json;

/// Nesting beyond this depth is refused.
inline constexpr int MaxJsonDepth = 32;

/// Parses untrusted text. Fails with InvalidArgument on malformed input and on
/// nesting deeper than \a MaxJsonDepth.
Result<Json> parseJson(std::string_view Text);

/// Serializes without white space; invalid UTF-8 is replaced.
std::string dumpJson(const Json &Value);

/// Reads an unsigned number; \a Default when absent or of another type.
std::uint64_t numberAt(const Json &Object, const char *Key,
                       std::uint64_t Default = 0);
/// Reads a string; empty when absent or of another type.
std::string textAt(const Json &Object, const char *Key);
bool boolAt(const Json &Object, const char *Key, bool Default = false);

} // namespace amaranthward

#endif
