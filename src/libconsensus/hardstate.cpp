#include "libconsensus/hardstate.h"

#include "libcore/hashing.h"
#include "libcore/json.h"

namespace amaranthward {

namespace {

constexpr const char *FileName = "state";

bool isTemporary(const std::string &Name) {
  return Name.ends_with(TemporarySuffix);
}

} // namespace

Result<HardState> HardState::create(std::shared_ptr<Folder> Files,
                                    DiskIdentity Fresh) {
  HardState State(Files);
  auto Names = Files->list();
  if (!Names)
    return tl::make_unexpected(Names.error());
  bool OtherFiles = false;
  for (const std::string &Name : *Names) {
    if (Name == FileName) {
      auto Text = Files->read(FileName);
      if (!Text)
        return tl::make_unexpected(Text.error());
      if (auto Parsed = State.parse(*Text); !Parsed)
        return tl::make_unexpected(Parsed.error());
      // An earlier process may have stopped between rename and sync.
      if (auto Synced = Files->syncFolder(); !Synced)
        return tl::make_unexpected(Synced.error());
      return State;
    }
    OtherFiles = OtherFiles || !isTemporary(Name);
  }
  if (OtherFiles)
    return fail(ErrorCode::Corrupt, Files->path() + "/" + FileName +
                                        ": missing although the folder has "
                                        "other files; restore it or empty "
                                        "the folder");
  State.Identity = std::move(Fresh);
  if (auto Written = State.write(Term(), DiskIdentity()); !Written)
    return tl::make_unexpected(Written.error());
  return State;
}

Result<void> HardState::parse(const std::string &Text) {
  auto LineEnd = Text.find('\n');
  auto Fields = parseJson(Text.substr(0, LineEnd));
  bool Intact = LineEnd != std::string::npos && Fields &&
                Text.substr(LineEnd + 1) ==
                    std::to_string(crc32(Text.substr(0, LineEnd))) + "\n" &&
                !textAt(*Fields, "identity").empty();
  if (!Intact)
    return fail(ErrorCode::Corrupt, this->Files->path() + "/" + FileName +
                                        ": damaged at offset 0; empty the "
                                        "folder to rejoin as a new replica");
  this->Identity = DiskIdentity(textAt(*Fields, "identity"));
  this->Current = Term(numberAt(*Fields, "term"));
  this->Vote = DiskIdentity(textAt(*Fields, "vote"));
  return {};
}

Result<void> HardState::write(Term Current, DiskIdentity Vote) {
  std::string Line = dumpJson({{"identity", this->Identity.str()},
                               {"term", Current.value()},
                               {"vote", Vote.str()}});
  std::string Text = Line + "\n" + std::to_string(crc32(Line)) + "\n";
  if (auto Written = replaceFile(*this->Files, FileName, Text); !Written)
    return Written;
  this->Current = Current;
  this->Vote = std::move(Vote);
  return {};
}

} // namespace amaranthward
