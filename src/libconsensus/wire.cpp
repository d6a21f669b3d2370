#include "libconsensus/wire.h"

#include "libconsensus/voterset.h"
#include <array>

namespace amaranthward {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::array<std::int8_t, 256> reverseAlphabet() {
  std::array<std::int8_t, 256> Values{};
  Values.fill(-1);
  for (std::size_t Place = 0; Place < Alphabet.size(); ++Place)
    Values[static_cast<unsigned char>(Alphabet[Place])] =
        static_cast<std::int8_t>(Place);
  return Values;
}

Result<LogEntry> decodeEntry(const Json &Value) {
  std::uint64_t Type = numberAt(Value, "type");
  if (Type < static_cast<std::uint64_t>(EntryType::Noop) ||
      Type > static_cast<std::uint64_t>(EntryType::VoterSet))
    return fail(ErrorCode::InvalidArgument, "entry has an unknown type");
  auto Payload = decodeBase64(textAt(Value, "payload"));
  if (!Payload)
    return tl::make_unexpected(Payload.error());
  LogEntry Entry{LogIndex(numberAt(Value, "index")),
                 Term(numberAt(Value, "term")), static_cast<EntryType>(Type),
                 std::move(*Payload)};
  if (Entry.Type == EntryType::VoterSet) {
    auto Set = parseJson(Entry.Payload);
    if (!Set || !VoterSet::parse(*Set))
      return fail(ErrorCode::InvalidArgument, "entry has a bad voter set");
  }
  return Entry;
}

} // namespace

std::string encodeBase64(std::string_view Data) {
  std::string Text;
  Text.reserve((Data.size() + 2) / 3 * 4);
  std::size_t Place = 0;
  auto ByteAt = [&Data](std::size_t Index) {
    return Index < Data.size() ? static_cast<unsigned char>(Data[Index]) : 0U;
  };
  for (; Place < Data.size(); Place += 3) {
    unsigned Group =
        (ByteAt(Place) << 16) | (ByteAt(Place + 1) << 8) | ByteAt(Place + 2);
    for (int Shift = 18; Shift >= 0; Shift -= 6)
      Text.push_back(Alphabet[(Group >> Shift) & 63]);
  }
  for (; Place > Data.size(); --Place)
    Text[Text.size() - (Place - Data.size())] = '=';
  return Text;
}

Result<std::string> decodeBase64(std::string_view Text) {
  static const std::array<std::int8_t, 256> Values = reverseAlphabet();
  if (Text.size() % 4 != 0)
    return fail(ErrorCode::InvalidArgument, "base64 text has a bad length");
  std::size_t Padding = 0;
  while (Padding < 2 && Text.size() > Padding &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  std::string Data;
  Data.reserve(Text.size() / 4 * 3);
  unsigned Group = 0;
  for (std::size_t Place = 0; Place < Text.size(); ++Place) {
    bool IsPadding = Place >= Text.size() - Padding;
    int Value = IsPadding ? 0 : Values[static_cast<unsigned char>(Text[Place])];
    if (Value < 0)
      return fail(ErrorCode::InvalidArgument, "base64 text has a bad letter");
    Group = (Group << 6) | static_cast<unsigned>(Value);
    if (Place % 4 != 3)
      continue;
    for (int Shift = 16; Shift >= 0; Shift -= 8)
      Data.push_back(static_cast<char>((Group >> Shift) & 0xff));
    Group = 0;
  }
  Data.resize(Data.size() - Padding);
  return Data;
}

Json encodeEntry(const LogEntry &Entry) {
  return {{"index", Entry.Index.value()},
          {"term", Entry.At.value()},
          {"type", static_cast<std::uint64_t>(Entry.Type)},
          {"payload", encodeBase64(Entry.Payload)}};
}

Result<std::vector<LogEntry>> decodeEntries(const Json &Message,
                                            LogIndex Previous) {
  auto Listed = Message.find("entries");
  if (Listed == Message.end() || !Listed->is_array())
    return fail(ErrorCode::InvalidArgument, "entries are missing");
  std::vector<LogEntry> Entries;
  Term Lowest(numberAt(Message, "prev_term"));
  Term Highest(numberAt(Message, "term"));
  for (const Json &Value : *Listed) {
    auto Entry = decodeEntry(Value);
    if (!Entry)
      return tl::make_unexpected(Entry.error());
    Previous = Previous.next();
    if (Entry->Index != Previous || Entry->At < Lowest || Entry->At > Highest)
      return fail(ErrorCode::InvalidArgument, "entries are out of order");
    Lowest = Entry->At;
    Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

} // namespace amaranthward
