#ifndef AMARANTHWARD_LIBCONFIG_CONFIGURATIONREADER_H
#define AMARANTHWARD_LIBCONFIG_CONFIGURATIONREADER_H

#include "libconfig/configurationset.h"
#include "libcore/finding.h"
#include "libcore/units.h"
#include <optional>
#include <string>

namespace amaranthward {

/// A configuration set longer than this many bytes is refused.
inline constexpr std::size_t MaxConfigurationBytes = 4UL * 1024 * 1024;

struct ReadOutcome {
  /// Present only when no finding is an error.
  std::optional<ConfigurationSet> Set;
  Findings All;
};

/// Reads and checks a configuration set in YAML. All problems are reported
/// together. Never throws.
/// \param FileName only appears in the findings.
/// \param Now refuses deadlines in the past; without it, they are accepted.
ReadOutcome readConfiguration(const std::string &Text,
                              const std::string &FileName,
                              std::optional<WallTime> Now);

} // namespace amaranthward

#endif
