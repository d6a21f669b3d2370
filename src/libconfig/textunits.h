#ifndef AMARANTHWARD_LIBCONFIG_TEXTUNITS_H
#define AMARANTHWARD_LIBCONFIG_TEXTUNITS_H

#include "libcore/ids.h"
#include "libcore/units.h"
#include <optional>
#include <string>
#include <string_view>

namespace amaranthward {

/// Reads a whole number with unit us, ms, s, m or h, such as "30s".
std::optional<Duration> parseDuration(std::string_view Text);
/// Reads a percentage with at most two decimals, such as "12.5%". Nothing
/// above 100%.
std::optional<Share> parseShare(std::string_view Text);
/// Reads "2026-12-04T12:00:00Z", with up to six decimals of the second.
/// Only years from 1970 to 2199.
std::optional<WallTime> parseWallTime(std::string_view Text);
/// Reads "ADDRESS:PORT" or "[ADDRESS]:PORT" with a numeric IPv4 or IPv6
/// address and a port from 0 to 65535.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
/// True for "0.0.0.0:PORT" and "[::]:PORT".
bool isAnyAddress(const Endpoint &Address);
/// Port of an address that \a parseEndpoint accepts.
std::uint16_t portOf(const Endpoint &Address);

/// Inverse functions; a duration gets the largest unit without remainder.
std::string formatDuration(Duration Value);
std::string formatShare(Share Value);
/// Whole seconds.
std::string formatWallTime(WallTime Value);

} // namespace amaranthward

#endif
