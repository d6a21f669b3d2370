#include "libconsensus/folder.h"

namespace amaranthward {

Result<void> replaceFile(Folder &Files, const std::string &Name,
                         std::string_view Data) {
  std::string Temporary = Name + TemporarySuffix;
  auto Listed = Files.list();
  if (!Listed)
    return tl::make_unexpected(Listed.error());
  for (const std::string &Existing : *Listed)
    if (Existing == Temporary)
      if (auto Removed = Files.remove(Temporary); !Removed)
        return Removed;
  auto Written = Files.append(Temporary, Data);
  if (!Written) {
    // Frees the space of the incomplete copy; the error is the one to report.
    (void)Files.remove(Temporary);
    return Written;
  }
  if (auto Synced = Files.sync(Temporary); !Synced)
    return Synced;
  if (auto Renamed = Files.rename(Temporary, Name); !Renamed)
    return Renamed;
  return Files.syncFolder();
}

} // namespace amaranthward
