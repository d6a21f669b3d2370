#include "libconfig/hostname.h"

#include <algorithm>
#include <cctype>

namespace amaranthward {

std::string normalizedHost(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  // The colons of an IPv6 address stand in brackets.
  if (Colon != std::string_view::npos &&
      Host.find(']', Colon) == std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Name(Host);
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Name;
}

} // namespace amaranthward
