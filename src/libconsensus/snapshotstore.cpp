#include "libconsensus/snapshotstore.h"

#include "libcore/hashing.h"
#include "libcore/json.h"
#include <algorithm>
#include <fmt/format.h>

namespace amaranthward {

namespace {

constexpr std::string_view Prefix = "snapshot-";

/// Names sort in the order of their log indexes.
std::string fileNameFor(LogIndex Last) {
  return fmt::format("{}{:020}", Prefix, Last.value());
}

bool isSnapshot(const std::string &Name) {
  return Name.starts_with(Prefix) && !Name.ends_with(TemporarySuffix);
}

std::string encode(const Snapshot &Taken) {
  std::string Head = dumpJson({{"last", Taken.Last.value()},
                               {"last_term", Taken.LastTerm.value()},
                               {"voters", Taken.Voters.toJson()},
                               {"size", Taken.State.size()}});
  std::string Body = Head + "\n" + Taken.State;
  return std::to_string(crc32(Body)) + "\n" + Body;
}

Result<Snapshot> decode(const std::string &Text) {
  auto Damaged = fail(ErrorCode::Corrupt, "damaged at offset 0");
  auto SumEnd = Text.find('\n');
  if (SumEnd == std::string::npos)
    return Damaged;
  std::string_view Body = std::string_view(Text).substr(SumEnd + 1);
  if (Text.substr(0, SumEnd) != std::to_string(crc32(Body)))
    return Damaged;
  auto HeadEnd = Body.find('\n');
  auto Head = parseJson(Body.substr(0, HeadEnd));
  if (HeadEnd == std::string_view::npos || !Head || !Head->contains("voters"))
    return Damaged;
  auto Voters = VoterSet::parse((*Head)["voters"]);
  if (!Voters)
    return Damaged;
  return Snapshot{LogIndex(numberAt(*Head, "last")),
                  Term(numberAt(*Head, "last_term")), std::move(*Voters),
                  std::string(Body.substr(HeadEnd + 1))};
}

} // namespace

Result<SnapshotStore> SnapshotStore::create(std::shared_ptr<Folder> Files) {
  SnapshotStore Store(Files);
  auto Names = Files->list();
  if (!Names)
    return tl::make_unexpected(Names.error());
  std::string NewestName;
  for (const std::string &Name : *Names)
    if (isSnapshot(Name))
      NewestName = std::max(NewestName, Name);
  if (!NewestName.empty())
    if (auto Loaded = Store.load(NewestName); !Loaded)
      return tl::make_unexpected(Loaded.error());
  return Store;
}

Result<void> SnapshotStore::load(const std::string &Name) {
  auto Text = this->Files->read(Name);
  if (!Text)
    return tl::make_unexpected(Text.error());
  auto Decoded = decode(*Text);
  if (!Decoded)
    return fail(Decoded.error().Code, this->Files->path() + "/" + Name + ": " +
                                          Decoded.error().Message);
  this->Newest = std::make_shared<Snapshot>(std::move(*Decoded));
  return this->removeOlderThan(Name);
}

Result<void> SnapshotStore::save(Snapshot Taken) {
  std::string Name = fileNameFor(Taken.Last);
  if (auto Saved = replaceFile(*this->Files, Name, encode(Taken)); !Saved)
    return Saved;
  this->Newest = std::make_shared<Snapshot>(std::move(Taken));
  return this->removeOlderThan(Name);
}

Result<void> SnapshotStore::removeOlderThan(const std::string &Name) {
  auto Names = this->Files->list();
  if (!Names)
    return tl::make_unexpected(Names.error());
  for (const std::string &Other : *Names)
    if (isSnapshot(Other) && Other < Name)
      if (auto Removed = this->Files->remove(Other); !Removed)
        return Removed;
  return {};
}

} // namespace amaranthward
