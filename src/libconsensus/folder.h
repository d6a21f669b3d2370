#ifndef AMARANTHWARD_LIBCONSENSUS_FOLDER_H
#define AMARANTHWARD_LIBCONSENSUS_FOLDER_H

#include "libcore/result.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthward {

/// Access to the files of one data folder, by plain file name. Functions fail
/// with Exhausted when space runs out and with Io otherwise; the sync functions
/// fail with Io only. Nothing is durable before \a sync (contents) and
/// \a syncFolder (names).
class Folder {
public:
  virtual ~Folder() = default;

  /// Folder path for messages.
  virtual std::string path() const = 0;
  virtual Result<std::vector<std::string>> list() = 0;
  virtual Result<std::string> read(const std::string &Name) = 0;
  /// Appends to a file, which is created when it does not exist. A failed
  /// call may leave a part of \a Data behind.
  virtual Result<void> append(const std::string &Name,
                              std::string_view Data) = 0;
  virtual Result<void> truncate(const std::string &Name,
                                std::uint64_t Size) = 0;
  virtual Result<void> sync(const std::string &Name) = 0;
  virtual Result<void> rename(const std::string &From,
                              const std::string &To) = 0;
  virtual Result<void> remove(const std::string &Name) = 0;
  virtual Result<void> syncFolder() = 0;
};

/// Writes \a Data to a temporary file, syncs it, renames it to \a Name and
/// syncs the folder, so that a crash leaves either the old or the new file.
Result<void> replaceFile(Folder &Files, const std::string &Name,
                         std::string_view Data);

/// Suffix of temporary files, which are ignored and removed on open.
inline constexpr const char *TemporarySuffix = ".tmp";

} // namespace amaranthward

#endif
