#include "libnet/messagehead.h"
#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <charconv>
#include <cstring>
#include <strings.h>

namespace amaranthward {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t MaxMethodLength = 32;
constexpr std::size_t MaxFields = 100;

bool isToken(std::string_view Text) {
  static constexpr std::string_view Extra = "!#$%&'*+-.^_`|~";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Each) {
    return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'z') ||
           (Each >= 'A' && Each <= 'Z') ||
           Extra.find(Each) != std::string_view::npos;
  });
}

bool isVisible(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Each) {
    return static_cast<unsigned char>(Each) > 0x20 &&
           static_cast<unsigned char>(Each) < 0x7f;
  });
}

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Each) {
    auto Code = static_cast<unsigned char>(Each);
    return Code == '\t' || (Code >= 0x20 && Code != 0x7f);
  });
}

bool sameText(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         ::strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

tl::unexpected<HeadError> refuse(int Status, std::string Message) {
  return tl::make_unexpected(HeadError{Status, std::move(Message)});
}

/// Takes the first line off \a Rest.
std::string_view takeLine(std::string_view &Rest) {
  std::size_t End = Rest.find(LineEnd);
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(std::min(Rest.size(), End + LineEnd.size()));
  return Line;
}

/// Reads the field lines; \a Rest starts after the first line.
HeadResult<HttpHeaders> parseFields(std::string_view Rest) {
  HttpHeaders Headers;
  std::size_t Count = 0;
  for (std::string_view Line = takeLine(Rest); !Line.empty();
       Line = takeLine(Rest)) {
    if (!validFieldLine(Line))
      return refuse(400, "malformed header line");
    if (++Count > MaxFields)
      return refuse(431, "too many header fields");
    std::size_t Colon = Line.find(':');
    Headers.add(std::string(Line.substr(0, Colon)),
                std::string(trimmed(Line.substr(Colon + 1))));
  }
  return Headers;
}

struct Framing {
  std::optional<std::uint64_t> Length;
  bool Chunked = false;
};

HeadResult<Framing> parseFraming(const HttpHeaders &Headers) {
  Framing Found;
  std::size_t Encodings = 0;
  for (const auto &[Name, Value] : Headers.fields()) {
    if (sameText(Name, "Content-Length")) {
      std::uint64_t Number = 0;
      const char *End = Value.data() + Value.size();
      auto [Stop, Code] = std::from_chars(Value.data(), End, Number);
      if (Value.empty() || Code != std::errc() || Stop != End)
        return refuse(400, "malformed Content-Length");
      if (Found.Length)
        return refuse(400, "repeated Content-Length");
      Found.Length = Number;
    } else if (sameText(Name, "Transfer-Encoding")) {
      if (++Encodings > 1)
        return refuse(400, "repeated Transfer-Encoding");
      if (!sameText(Value, "chunked"))
        return refuse(501, "unsupported Transfer-Encoding");
      Found.Chunked = true;
    }
  }
  if (Found.Chunked && Found.Length)
    return refuse(400, "both Content-Length and Transfer-Encoding");
  return Found;
}

HeadResult<HttpRequestHead> parseRequestLine(std::string_view Line) {
  std::size_t First = Line.find(' ');
  std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return refuse(400, "malformed request line");
  std::string_view Method = Line.substr(0, First);
  std::string_view Target = Line.substr(First + 1, Last - First - 1);
  std::string_view Version = Line.substr(Last + 1);
  if (!isToken(Method) || Target.empty() || !isVisible(Target))
    return refuse(400, "malformed request line");
  if (Version.size() != 8 || Version.substr(0, 5) != "HTTP/" ||
      Version[6] != '.' || !std::isdigit(Version[5]) ||
      !std::isdigit(Version[7]))
    return refuse(400, "malformed protocol version");
  if (Version != "HTTP/1.1")
    return refuse(505, "only HTTP/1.1 is supported");
  if (Method.size() > MaxMethodLength || Method == "CONNECT" ||
      Method == "TRACE")
    return refuse(501, "unsupported method");
  if (Target.front() != '/' && !(Target == "*" && Method == "OPTIONS"))
    return refuse(400, "the request target must be a path");
  HttpRequestHead Head;
  Head.Method = Method;
  Head.Target = Target;
  return Head;
}

/// Appends the fields except those that describe the framing.
void appendFields(std::string &Text, const HttpHeaders &Headers) {
  for (const auto &[Name, Value] : Headers.fields()) {
    if (sameText(Name, "Content-Length") || sameText(Name, "Transfer-Encoding"))
      continue;
    if (!isToken(Name) || !isFieldValue(Value))
      continue;
    Text.append(Name).append(": ").append(Value).append(LineEnd);
  }
}

void appendFraming(std::string &Text,
                   const std::optional<std::uint64_t> &Length) {
  if (Length)
    Text.append("Content-Length: ")
        .append(std::to_string(*Length))
        .append(LineEnd);
  else
    Text.append("Transfer-Encoding: chunked\r\n");
}

} // namespace

HeadScanner::State HeadScanner::scan(std::string_view Buffer) {
  while (this->Next < Buffer.size()) {
    const char *From = Buffer.data() + this->Next;
    const void *Found = std::memchr(From, '\n', Buffer.size() - this->Next);
    if (!Found) {
      this->Next = Buffer.size();
      break;
    }
    auto End = static_cast<std::size_t>(static_cast<const char *>(Found) -
                                        Buffer.data());
    if (End == this->LineStart || Buffer[End - 1] != '\r')
      return State::BareLineFeed;
    this->Next = End + 1;
    if (End - this->LineStart == 1)
      return State::Complete;
    this->LineStart = this->Next;
  }
  return State::Partial;
}

bool validFieldLine(std::string_view Line) {
  std::size_t Colon = Line.find(':');
  return Colon != std::string_view::npos && isToken(Line.substr(0, Colon)) &&
         isFieldValue(Line.substr(Colon + 1));
}

bool bodyless(int Status, bool HeadRequest) {
  return HeadRequest || Status < 200 || Status == 204 || Status == 304;
}

bool connectionHas(const HttpHeaders &Headers, std::string_view Option) {
  for (const auto &[Name, Value] : Headers.fields()) {
    if (!sameText(Name, "Connection"))
      continue;
    std::string_view Rest = Value;
    while (!Rest.empty()) {
      std::size_t Comma = Rest.find(',');
      if (sameText(trimmed(Rest.substr(0, Comma)), Option))
        return true;
      Rest.remove_prefix(Comma == std::string_view::npos ? Rest.size()
                                                         : Comma + 1);
    }
  }
  return false;
}

HeadResult<HttpRequestHead> parseRequestHead(std::string_view Bytes) {
  std::string_view Rest = Bytes;
  auto Head = parseRequestLine(takeLine(Rest));
  if (!Head)
    return Head;
  auto Headers = parseFields(Rest);
  if (!Headers)
    return tl::make_unexpected(Headers.error());
  auto Found = parseFraming(*Headers);
  if (!Found)
    return tl::make_unexpected(Found.error());
  auto Hosts = std::count_if(
      Headers->fields().begin(), Headers->fields().end(),
      [](const auto &Field) { return sameText(Field.first, "Host"); });
  if (Hosts != 1)
    return refuse(400, "exactly one Host field is required");
  Head->Headers = std::move(*Headers);
  if (Found->Chunked)
    Head->BodyLength = std::nullopt;
  else
    Head->BodyLength = Found->Length.value_or(0);
  return Head;
}

HeadResult<HttpResponseHead> parseResponseHead(std::string_view Bytes,
                                               bool HeadRequest) {
  std::string_view Rest = Bytes;
  std::string_view Line = takeLine(Rest);
  if (Line.size() < 12 || Line.substr(0, 9) != "HTTP/1.1 " ||
      (Line.size() > 12 && Line[12] != ' ') || !isFieldValue(Line))
    return refuse(502, "malformed status line");
  HttpResponseHead Head;
  auto [Stop, Code] =
      std::from_chars(Line.data() + 9, Line.data() + 12, Head.Status);
  if (Code != std::errc() || Stop != Line.data() + 12 || Head.Status < 100)
    return refuse(502, "malformed status code");
  auto Headers = parseFields(Rest);
  if (!Headers)
    return tl::make_unexpected(Headers.error());
  auto Found = parseFraming(*Headers);
  if (!Found)
    return tl::make_unexpected(Found.error());
  Head.Headers = std::move(*Headers);
  Head.BodyLength = Found->Length;
  if (bodyless(Head.Status, HeadRequest))
    return Head;
  Head.EndsWithConnection = !Found->Length && !Found->Chunked;
  return Head;
}

std::string serializeRequestHead(const HttpRequestHead &Head,
                                 const std::string &DefaultHost) {
  std::string Text;
  Text.reserve(512);
  Text.append(Head.Method).append(" ").append(Head.Target);
  Text.append(" HTTP/1.1\r\n");
  if (!Head.Headers.has("Host"))
    Text.append("Host: ").append(DefaultHost).append(LineEnd);
  appendFields(Text, Head.Headers);
  bool Bodyless = Head.Method == "GET" || Head.Method == "HEAD" ||
                  Head.Method == "DELETE" || Head.Method == "OPTIONS";
  if (!Bodyless || Head.BodyLength != std::uint64_t(0))
    appendFraming(Text, Head.BodyLength);
  Text.append(LineEnd);
  return Text;
}

std::string serializeResponseHead(const HttpResponseHead &Head,
                                  bool HeadRequest, bool Close) {
  std::string Text;
  Text.reserve(512);
  Text.append("HTTP/1.1 ").append(std::to_string(Head.Status)).append(" ");
  Text.append(Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Head.Status)));
  Text.append(LineEnd);
  appendFields(Text, Head.Headers);
  bool LengthAllowed = Head.Status >= 200 && Head.Status != 204;
  if (!bodyless(Head.Status, HeadRequest) || (LengthAllowed && Head.BodyLength))
    appendFraming(Text, Head.BodyLength);
  if (Close && !connectionHas(Head.Headers, "close"))
    Text.append("Connection: close\r\n");
  Text.append(LineEnd);
  return Text;
}

} // namespace amaranthward
