#include "libdistribution/tablechunk.h"

#include "libdistribution/messagefields.h"

namespace amaranthward {

namespace {

// Brackets, commas, quotes and a sequence number of up to ten digits.
constexpr std::size_t ChangeOverheadBytes = 18;

// Approximate; encoding each value only to measure it would cost as much as
// sending it.
std::size_t encodedBytes(const Json &Value) {
  // Quotes, a separator and a colon.
  constexpr std::size_t Marks = 4;
  constexpr std::size_t ScalarBytes = 7;
  if (const auto *Text = Value.get_ptr<const Json::string_t *>())
    return Text->size() + Marks;
  if (!Value.is_structured())
    return ScalarBytes;
  std::size_t Bytes = Marks;
  for (const auto &[Key, Nested] : Value.items())
    Bytes +=
        (Value.is_object() ? Key.size() + Marks : 0) + encodedBytes(Nested);
  return Bytes;
}

Json changeToJson(const VersionedChange &Change, std::uint64_t Epoch) {
  Json Version = Change.Version.Epoch == Epoch ? Json(Change.Version.Sequence)
                                               : toJson(Change.Version);
  Json Entry = Json::array({std::move(Version), Change.Key});
  if (Change.Value)
    Entry.push_back(*Change.Value);
  return Entry;
}

Result<VersionedChange> changeFromJson(const Json &Value, std::uint64_t Epoch) {
  if (!Value.is_array() || Value.size() < 2 || Value.size() > 3 ||
      !Value[1].is_string())
    return fail(ErrorCode::InvalidArgument, "malformed resource change");
  VersionedChange Change;
  if (Value[0].is_number_unsigned()) {
    Change.Version = {Epoch, Value[0].get<std::uint64_t>()};
  } else {
    auto Version = tableVersionFromJson(Value[0]);
    if (!Version)
      return tl::make_unexpected(Version.error());
    Change.Version = *Version;
  }
  Change.Key = Value[1].get<std::string>();
  if (Value.size() == 3)
    Change.Value = Value[2];
  return Change;
}

} // namespace

Json toJson(const TableVersion &Version) {
  return Json::array({Version.Epoch, Version.Sequence});
}

Result<TableVersion> tableVersionFromJson(const Json &Value) {
  if (!Value.is_array() || Value.size() != 2 ||
      !Value[0].is_number_unsigned() || !Value[1].is_number_unsigned())
    return fail(ErrorCode::InvalidArgument, "malformed table version");
  return TableVersion{Value[0].get<std::uint64_t>(),
                      Value[1].get<std::uint64_t>()};
}

Json toJson(const TableCursor &Cursor) {
  return {{"v", toJson(Cursor.Version)},
          {"k", Cursor.Key},
          {"b", toJson(Cursor.Start)},
          {"w", toJson(Cursor.SenderVersion)},
          {"s", Cursor.Snapshot}};
}

Result<TableCursor> tableCursorFromJson(const Json &Value) {
  MessageFields Fields(Value, "table cursor");
  TableCursor Cursor;
  auto Version = [&Fields](const char *Key) {
    const Json *Found = Fields.find(Key);
    return Fields.take(tableVersionFromJson(Found ? *Found : Json()));
  };
  Cursor.Version = Version("v");
  Cursor.Key = Fields.text("k");
  Cursor.Start = Version("b");
  Cursor.SenderVersion = Version("w");
  Cursor.Snapshot = Fields.flag("s");
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Cursor;
}

Json toJson(const TableChunk &Chunk) {
  Json Value = {{"v", toJson(Chunk.Current)}};
  if (Chunk.Snapshot)
    Value["s"] = true;
  if (!Chunk.First)
    Value["f"] = true;
  if (!Chunk.Complete)
    Value["i"] = true;
  Json Changes = Json::array();
  for (const VersionedChange &Change : Chunk.Changes)
    Changes.push_back(changeToJson(Change, Chunk.Current.Epoch));
  if (!Changes.empty())
    Value["c"] = std::move(Changes);
  if (Chunk.Next)
    Value["n"] = toJson(*Chunk.Next);
  return Value;
}

Result<TableChunk> tableChunkFromJson(const Json &Value) {
  MessageFields Fields(Value, "table chunk");
  TableChunk Chunk;
  const Json *Current = Fields.find("v");
  Chunk.Current =
      Fields.take(tableVersionFromJson(Current ? *Current : Json()));
  Chunk.Snapshot = Fields.flag("s");
  Chunk.First = !Fields.flag("f");
  Chunk.Complete = !Fields.flag("i");
  if (const Json *Changes = Fields.array("c"))
    for (const Json &Entry : *Changes)
      Chunk.Changes.push_back(
          Fields.take(changeFromJson(Entry, Chunk.Current.Epoch)));
  if (const Json *Next = Fields.find("n"))
    Chunk.Next = Fields.take(tableCursorFromJson(*Next));
  if (Fields.failure())
    return tl::make_unexpected(*Fields.failure());
  return Chunk;
}

std::size_t encodedBytes(const std::string &Key, const Json *Value) {
  return Key.size() + ChangeOverheadBytes + (Value ? encodedBytes(*Value) : 0);
}

} // namespace amaranthward
