#include "libnet/bodydecoder.h"
#include "libnet/messagehead.h"
#include <algorithm>
#include <charconv>

namespace amaranthward {

namespace {

constexpr std::size_t MaxSizeLine = 256;
constexpr std::size_t MaxTrailerBytes = 4096;
/// More hexadecimal digits than this could overflow 64 bits.
constexpr std::size_t MaxSizeDigits = 15;

bool validExtension(std::string_view Text) {
  return Text.empty() || (Text.front() == ';' &&
                          std::all_of(Text.begin(), Text.end(), [](char Each) {
                            return Each == '\t' ||
                                   (Each >= 0x20 && Each < 0x7f);
                          }));
}

} // namespace

void BodyDecoder::start(std::optional<std::uint64_t> Length) {
  this->TrailerBytes = 0;
  this->Left = Length.value_or(0);
  if (!Length)
    this->Current = State::Size;
  else
    this->Current = *Length > 0 ? State::Length : State::Done;
}

void BodyDecoder::startUntilEnd() { this->Current = State::UntilEnd; }

void BodyDecoder::end() {
  if (this->Current == State::UntilEnd)
    this->Current = State::Done;
}

BodyDecoder::Step BodyDecoder::decode(std::string_view Input) {
  switch (this->Current) {
  case State::Length:
    return this->decodeData(Input, State::Done);
  case State::Size:
    return this->decodeSize(Input);
  case State::Data:
    return this->decodeData(Input, State::DataEnd);
  case State::DataEnd:
    return this->decodeDataEnd(Input);
  case State::Trailers:
    return this->decodeTrailer(Input);
  case State::UntilEnd:
    return {Input.size(), Input};
  case State::Done:
  case State::Failed:
    break;
  }
  return {};
}

BodyDecoder::Step BodyDecoder::decodeData(std::string_view Input, State After) {
  std::size_t Count = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->Left, Input.size()));
  this->Left -= Count;
  if (this->Left == 0)
    this->Current = After;
  return {Count, Input.substr(0, Count)};
}

std::optional<std::string_view> BodyDecoder::findLine(std::string_view Input,
                                                      std::size_t Limit) {
  std::size_t End = Input.find('\n');
  if (End == std::string_view::npos) {
    if (Input.size() > Limit)
      this->Current = State::Failed;
    return std::nullopt;
  }
  if (End == 0 || Input[End - 1] != '\r' || End > Limit) {
    this->Current = State::Failed;
    return std::nullopt;
  }
  return Input.substr(0, End - 1);
}

BodyDecoder::Step BodyDecoder::decodeSize(std::string_view Input) {
  auto Line = this->findLine(Input, MaxSizeLine);
  if (!Line)
    return {};
  std::uint64_t Size = 0;
  const char *End = Line->data() + Line->size();
  auto [Stop, Code] = std::from_chars(Line->data(), End, Size, 16);
  auto Digits = static_cast<std::size_t>(Stop - Line->data());
  if (Code != std::errc() || Digits == 0 || Digits > MaxSizeDigits ||
      !validExtension(Line->substr(Digits))) {
    this->Current = State::Failed;
    return {};
  }
  this->Left = Size;
  this->Current = Size > 0 ? State::Data : State::Trailers;
  return {Line->size() + 2, {}};
}

BodyDecoder::Step BodyDecoder::decodeDataEnd(std::string_view Input) {
  constexpr std::string_view Expected = "\r\n";
  std::string_view Got = Input.substr(0, Expected.size());
  if (!Expected.starts_with(Got)) {
    this->Current = State::Failed;
    return {};
  }
  if (Got.size() < Expected.size())
    return {};
  this->Current = State::Size;
  return {Expected.size(), {}};
}

BodyDecoder::Step BodyDecoder::decodeTrailer(std::string_view Input) {
  auto Line = this->findLine(Input, MaxTrailerBytes - this->TrailerBytes);
  if (!Line)
    return {};
  this->TrailerBytes += Line->size() + 2;
  if (Line->empty())
    this->Current = State::Done;
  else if (!validFieldLine(*Line) || this->TrailerBytes >= MaxTrailerBytes)
    this->Current = State::Failed;
  return {Line->size() + 2, {}};
}

void appendChunkSize(std::string &Out, std::size_t Size) {
  char Digits[16];
  auto [End, Code] = std::to_chars(Digits, Digits + sizeof(Digits), Size, 16);
  (void)Code;
  Out.append(Digits, End).append("\r\n");
}

} // namespace amaranthward
