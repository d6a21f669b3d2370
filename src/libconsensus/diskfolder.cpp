#include "libconsensus/diskfolder.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace amaranthward {

namespace {

tl::unexpected<Error> failWith(int Number, const std::string &Action,
                               const std::string &File) {
  bool Full = Number == ENOSPC || Number == EDQUOT;
  return fail(Full ? ErrorCode::Exhausted : ErrorCode::Io,
              "cannot " + Action + " " + File + ": " + std::strerror(Number));
}

// Never Exhausted, even for ENOSPC: after a failed sync the kernel may have
// dropped the data, so a retry cannot make it durable.
tl::unexpected<Error> failSync(const std::string &File) {
  return fail(ErrorCode::Io,
              "cannot sync " + File + ": " + std::strerror(errno));
}

} // namespace

Result<std::shared_ptr<DiskFolder>>
DiskFolder::create(const std::string &Path) {
  std::error_code Code;
  bool Created = std::filesystem::create_directories(Path, Code);
  if (Code)
    return failWith(Code.value(), "create", Path);
  int Handle = ::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Handle < 0)
    return failWith(errno, "open", Path);
  if (::flock(Handle, LOCK_EX | LOCK_NB) != 0) {
    ::close(Handle);
    return fail(ErrorCode::Conflict,
                "data folder " + Path + " is in use by another process");
  }
  std::shared_ptr<DiskFolder> Opened(new DiskFolder(Path, Handle));
  if (Created) {
    // The new folder's own name must survive a crash of the machine too.
    auto Parent = std::filesystem::absolute(Path).parent_path();
    int Above = ::open(Parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (Above < 0)
      return failWith(errno, "open", Parent.string());
    int Synced = ::fsync(Above);
    int Number = errno;
    ::close(Above);
    if (Synced != 0)
      return failWith(Number, "sync", Parent.string());
  }
  return Opened;
}

DiskFolder::~DiskFolder() {
  for (const auto &[Name, Handle] : this->Handles)
    ::close(Handle);
  ::close(this->FolderHandle);
}

Result<int> DiskFolder::open(const std::string &Name) {
  if (auto Known = this->Handles.find(Name); Known != this->Handles.end())
    return Known->second;
  int Handle = ::openat(this->FolderHandle, Name.c_str(),
                        O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
  if (Handle < 0)
    return failWith(errno, "open", Name);
  this->Handles[Name] = Handle;
  return Handle;
}

void DiskFolder::close(const std::string &Name) {
  if (auto Known = this->Handles.find(Name); Known != this->Handles.end()) {
    ::close(Known->second);
    this->Handles.erase(Known);
  }
}

Result<std::vector<std::string>> DiskFolder::list() {
  std::vector<std::string> Names;
  std::error_code Code;
  std::filesystem::directory_iterator Next(this->Path, Code);
  for (; !Code && Next != std::filesystem::directory_iterator();
       Next.increment(Code))
    if (Next->is_regular_file(Code))
      Names.push_back(Next->path().filename().string());
  if (Code)
    return failWith(Code.value(), "list", this->Path);
  return Names;
}

Result<std::string> DiskFolder::read(const std::string &Name) {
  int Handle = ::openat(this->FolderHandle, Name.c_str(), O_RDONLY | O_CLOEXEC);
  if (Handle < 0)
    return failWith(errno, "open", Name);
  std::string Data;
  std::string Block(1U << 16, '\0');
  ssize_t Count = 0;
  while ((Count = ::read(Handle, Block.data(), Block.size())) != 0) {
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      break;
    Data.append(Block.data(), static_cast<std::size_t>(Count));
  }
  int Number = errno;
  ::close(Handle);
  if (Count < 0)
    return failWith(Number, "read", Name);
  return Data;
}

Result<void> DiskFolder::append(const std::string &Name,
                                std::string_view Data) {
  auto Handle = this->open(Name);
  if (!Handle)
    return tl::make_unexpected(Handle.error());
  while (!Data.empty()) {
    ssize_t Count = ::write(*Handle, Data.data(), Data.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return failWith(errno, "write", Name);
    Data.remove_prefix(static_cast<std::size_t>(Count));
  }
  return {};
}

Result<void> DiskFolder::truncate(const std::string &Name, std::uint64_t Size) {
  auto Handle = this->open(Name);
  if (!Handle)
    return tl::make_unexpected(Handle.error());
  if (::ftruncate(*Handle, static_cast<off_t>(Size)) != 0)
    return failWith(errno, "truncate", Name);
  return {};
}

Result<void> DiskFolder::sync(const std::string &Name) {
  auto Handle = this->open(Name);
  if (!Handle)
    return tl::make_unexpected(Handle.error());
  if (::fdatasync(*Handle) != 0)
    return failSync(Name);
  return {};
}

Result<void> DiskFolder::rename(const std::string &From,
                                const std::string &To) {
  this->close(From);
  this->close(To);
  if (::renameat(this->FolderHandle, From.c_str(), this->FolderHandle,
                 To.c_str()) != 0)
    return failWith(errno, "rename", From);
  return {};
}

Result<void> DiskFolder::remove(const std::string &Name) {
  this->close(Name);
  if (::unlinkat(this->FolderHandle, Name.c_str(), 0) != 0)
    return failWith(errno, "remove", Name);
  return {};
}

Result<void> DiskFolder::syncFolder() {
  if (::fsync(this->FolderHandle) != 0)
    return failSync(this->Path);
  return {};
}

} // namespace amaranthward
