#ifndef AMARANTHWARD_TESTS_LIBCONSENSUS_MEMORYFOLDER_H
#define AMARANTHWARD_TESTS_LIBCONSENSUS_MEMORYFOLDER_H

#include "libconsensus/folder.h"
#include "libcore/units.h"
#include <map>
#include <memory>

namespace amaranthward {

/// A folder in memory that can lose unsynced changes and run out of space.
class MemoryFolder : public Folder {
public:
  /// The space on the disk is used up.
  bool Full = false;
  bool FailSyncs = false;
  int Syncs = 0;

  std::string path() const override { return "memory"; }

  Result<std::vector<std::string>> list() override {
    std::vector<std::string> Listed;
    for (const auto &[Name, Contents] : this->Names)
      Listed.push_back(Name);
    return Listed;
  }

  Result<std::string> read(const std::string &Name) override {
    auto Found = this->Names.find(Name);
    if (Found == this->Names.end())
      return fail(ErrorCode::Io, "no file " + Name);
    return Found->second->Data;
  }

  Result<void> append(const std::string &Name, std::string_view Data) override {
    auto &Slot = this->Names[Name];
    if (!Slot)
      Slot = std::make_shared<File>();
    if (this->Full && !Data.empty()) {
      Slot->Data += Data.substr(0, Data.size() / 2);
      return fail(ErrorCode::Exhausted, "no space left for " + Name);
    }
    Slot->Data += Data;
    return {};
  }

  Result<void> truncate(const std::string &Name, std::uint64_t Size) override {
    this->Names.at(Name)->Data.resize(Size);
    return {};
  }

  Result<void> sync(const std::string &Name) override {
    ++this->Syncs;
    if (this->FailSyncs)
      return fail(ErrorCode::Io, "sync of " + Name + " failed");
    auto &Synced = *this->Names.at(Name);
    Synced.Durable = Synced.Data;
    return {};
  }

  Result<void> rename(const std::string &From, const std::string &To) override {
    this->Names[To] = this->Names.at(From);
    this->Names.erase(From);
    return {};
  }

  Result<void> remove(const std::string &Name) override {
    this->Names.erase(Name);
    return {};
  }

  Result<void> syncFolder() override {
    if (this->FailSyncs)
      return fail(ErrorCode::Io, "sync of the folder failed");
    this->DurableNames = this->Names;
    return {};
  }

  /// Loses unsynced changes. Some of the unsynced bytes at the end of a file
  /// may survive, and so may unsynced changes of names.
  void crash(const RandomFunction &Random) {
    if (Random() % 2 == 0)
      this->Names = this->DurableNames;
    for (auto &[Name, Contents] : this->Names) {
      std::string Kept = Contents->Durable;
      bool Extended = Contents->Data.starts_with(Kept);
      if (Extended && Contents->Data.size() > Kept.size())
        Kept = Contents->Data.substr(
            0,
            Kept.size() + Random() % (Contents->Data.size() - Kept.size() + 1));
      Contents->Data = Contents->Durable = Kept;
    }
    this->DurableNames = this->Names;
    this->Full = this->FailSyncs = false;
  }

  /// Inverts one byte, as damage of the medium does.
  void damage(const std::string &Name, std::size_t Offset) {
    auto &Contents = *this->Names.at(Name);
    Contents.Data[Offset] = static_cast<char>(~Contents.Data[Offset]);
    Contents.Durable = Contents.Data;
  }

private:
  struct File {
    std::string Data;
    std::string Durable;
  };

  std::map<std::string, std::shared_ptr<File>> Names;
  std::map<std::string, std::shared_ptr<File>> DurableNames;
};

} // namespace amaranthward

#endif
