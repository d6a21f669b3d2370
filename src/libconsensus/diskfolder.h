#ifndef AMARANTHWARD_LIBCONSENSUS_DISKFOLDER_H
#define AMARANTHWARD_LIBCONSENSUS_DISKFOLDER_H

#include "libconsensus/folder.h"
#include <map>
#include <memory>

namespace amaranthward {

/// A folder on a local file system. Holds an exclusive lock on it.
class DiskFolder : public Folder {
public:
  /// Creates the folder when it is missing. Fails with Conflict when another
  /// process holds it.
  static Result<std::shared_ptr<DiskFolder>> create(const std::string &Path);
  ~DiskFolder() override;
  DiskFolder(const DiskFolder &) = delete;
  DiskFolder &operator=(const DiskFolder &) = delete;

  std::string path() const override { return this->Path; }
  Result<std::vector<std::string>> list() override;
  Result<std::string> read(const std::string &Name) override;
  Result<void> append(const std::string &Name, std::string_view Data) override;
  Result<void> truncate(const std::string &Name, std::uint64_t Size) override;
  Result<void> sync(const std::string &Name) override;
  Result<void> rename(const std::string &From, const std::string &To) override;
  Result<void> remove(const std::string &Name) override;
  Result<void> syncFolder() override;

private:
  DiskFolder(std::string Path, int FolderHandle)
      : Path(std::move(Path)), FolderHandle(FolderHandle) {}
  Result<int> open(const std::string &Name);
  void close(const std::string &Name);

  std::string Path;
  int FolderHandle;
  /// Open files by name.
  std::map<std::string, int> Handles;
};

} // namespace amaranthward

#endif
