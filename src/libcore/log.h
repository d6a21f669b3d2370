#ifndef AMARANTHWARD_LIBCORE_LOG_H
#define AMARANTHWARD_LIBCORE_LOG_H

#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace amaranthward {

struct LogOptions {
  std::string Level = "info"; ///< trace, debug, info, warn, error or off.
  bool JsonLines = false;
};

/// Sets level and format for all parts; call once at start.
void configureLogging(const LogOptions &Options);

/// The logger whose lines carry \a Part as a fixed prefix.
std::shared_ptr<spdlog::logger> logFor(const std::string &Part);

} // namespace amaranthward

#endif
