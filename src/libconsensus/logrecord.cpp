#include "libconsensus/logrecord.h"

#include "libcore/hashing.h"

namespace amaranthward {

namespace {

constexpr std::string_view Mark = "AWR1";
constexpr std::size_t ChecksumOffset = 8;
constexpr std::size_t CheckedOffset = 12;
constexpr std::size_t HeaderSize = 37;

void putNumber(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int Byte = 0; Byte < Bytes; ++Byte)
    Out.push_back(static_cast<char>((Value >> (8 * Byte)) & 0xff));
}

std::uint64_t getNumber(std::string_view Data, std::size_t Offset, int Bytes) {
  std::uint64_t Value = 0;
  for (int Byte = Bytes - 1; Byte >= 0; --Byte)
    Value = (Value << 8) | static_cast<unsigned char>(
                               Data[Offset + static_cast<std::size_t>(Byte)]);
  return Value;
}

} // namespace

std::string encodeRecord(const LogEntry &Entry, std::uint64_t BatchStart) {
  std::string Checked;
  Checked.reserve(HeaderSize + Entry.Payload.size());
  putNumber(Checked, Entry.At.value(), 8);
  putNumber(Checked, Entry.Index.value(), 8);
  putNumber(Checked, BatchStart, 8);
  putNumber(Checked, static_cast<std::uint64_t>(Entry.Type), 1);
  Checked += Entry.Payload;
  std::string Record(Mark);
  putNumber(Record, Entry.Payload.size(), 4);
  putNumber(Record, crc32(Checked), 4);
  return Record + Checked;
}

std::optional<LogRecord> decodeRecord(std::string_view File,
                                      std::size_t Offset) {
  if (Offset + HeaderSize > File.size() ||
      File.substr(Offset, Mark.size()) != Mark)
    return std::nullopt;
  std::string_view Record = File.substr(Offset);
  auto Length = static_cast<std::size_t>(getNumber(Record, Mark.size(), 4));
  if (HeaderSize + Length > Record.size())
    return std::nullopt;
  std::string_view Checked =
      Record.substr(CheckedOffset, HeaderSize - CheckedOffset + Length);
  if (crc32(Checked) != getNumber(Record, ChecksumOffset, 4))
    return std::nullopt;
  LogRecord Found;
  Found.Entry.At = Term(getNumber(Checked, 0, 8));
  Found.Entry.Index = LogIndex(getNumber(Checked, 8, 8));
  Found.BatchStart = getNumber(Checked, 16, 8);
  Found.Entry.Type = static_cast<EntryType>(getNumber(Checked, 24, 1));
  Found.Entry.Payload = Record.substr(HeaderSize, Length);
  Found.EncodedSize = HeaderSize + Length;
  return Found;
}

std::optional<std::size_t> findLaterBatch(std::string_view File,
                                          std::size_t Offset) {
  std::size_t Next = File.find(Mark, Offset);
  for (; Next != std::string_view::npos; Next = File.find(Mark, Next + 1))
    if (auto Found = decodeRecord(File, Next);
        Found && Found->BatchStart > Offset)
      return Next;
  return std::nullopt;
}

} // namespace amaranthward
