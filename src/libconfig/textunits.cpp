#include "libconfig/textunits.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace amaranthward {

namespace {

struct DurationUnit {
  std::string_view Suffix;
  std::int64_t Microseconds;
};

// Longest suffix first, so that "ms" is not read as "m" or "s".
constexpr std::array<DurationUnit, 5> DurationUnits = {{{"us", 1},
                                                        {"ms", 1000},
                                                        {"s", 1000000},
                                                        {"m", 60000000},
                                                        {"h", 3600000000}}};

// Keeps products of number and unit within 64 bits.
constexpr std::size_t MaxDigits = 9;

// JSON carries times as microseconds since 1970 in 53 bits, until 2255.
constexpr std::chrono::year MinYear(1970);
constexpr std::chrono::year MaxYear(2199);

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

std::optional<std::int64_t> parseDigits(std::string_view Text,
                                        std::size_t MaxLength = MaxDigits) {
  std::int64_t Value = 0;
  if (Text.empty() || Text.size() > MaxLength || !isDigit(Text.front()))
    return std::nullopt;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

// Reads decimals as a whole number of 10^-Places.
std::optional<std::int64_t> parseDecimals(std::string_view Text,
                                          std::size_t Places) {
  std::string Padded(Text);
  if (Text.empty() || Text.size() > Places)
    return std::nullopt;
  Padded.resize(Places, '0');
  return parseDigits(Padded);
}

// True when each 'd' of the pattern is a digit and the rest is equal.
bool fitsPattern(std::string_view Text, std::string_view Pattern) {
  if (Text.size() != Pattern.size())
    return false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Pattern[At] == 'd' ? !isDigit(Text[At]) : Text[At] != Pattern[At])
      return false;
  }
  return true;
}

int digitsAt(std::string_view Text, std::size_t At, std::size_t Length) {
  return static_cast<int>(*parseDigits(Text.substr(At, Length)));
}

bool isAddress(int Family, const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Buffer = {};
  return ::inet_pton(Family, Text.c_str(), Buffer.data()) == 1;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  for (const DurationUnit &Unit : DurationUnits) {
    if (!Text.ends_with(Unit.Suffix))
      continue;
    auto Count = parseDigits(Text.substr(0, Text.size() - Unit.Suffix.size()));
    if (Count)
      return Duration(*Count * Unit.Microseconds);
  }
  return std::nullopt;
}

std::optional<Share> parseShare(std::string_view Text) {
  if (!Text.ends_with('%'))
    return std::nullopt;
  Text.remove_suffix(1);
  std::size_t Point = Text.find('.');
  auto Percent = parseDigits(Text.substr(0, Point));
  std::optional<std::int64_t> Hundredths = 0;
  if (Point != std::string_view::npos)
    Hundredths = parseDecimals(Text.substr(Point + 1), 2);
  if (!Percent || !Hundredths)
    return std::nullopt;
  std::int64_t Parts = *Percent * 100 + *Hundredths;
  if (Parts > Share::Whole)
    return std::nullopt;
  return Share(static_cast<std::uint32_t>(Parts));
}

std::optional<WallTime> parseWallTime(std::string_view Text) {
  constexpr std::string_view Pattern = "dddd-dd-ddTdd:dd:dd";
  if (!fitsPattern(Text.substr(0, Pattern.size()), Pattern) ||
      !Text.ends_with('Z'))
    return std::nullopt;
  std::string_view Rest = Text.substr(Pattern.size());
  Rest.remove_suffix(1);
  std::optional<std::int64_t> Fraction = 0;
  if (!Rest.empty())
    Fraction = Rest[0] == '.' ? parseDecimals(Rest.substr(1), 6) : std::nullopt;
  std::chrono::year_month_day Date(
      std::chrono::year(digitsAt(Text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(digitsAt(Text, 5, 2))),
      std::chrono::day(static_cast<unsigned>(digitsAt(Text, 8, 2))));
  int Hour = digitsAt(Text, 11, 2);
  int Minute = digitsAt(Text, 14, 2);
  int Second = digitsAt(Text, 17, 2);
  if (!Fraction || !Date.ok() || Date.year() < MinYear ||
      Date.year() > MaxYear || Hour > 23 || Minute > 59 || Second > 59)
    return std::nullopt;
  return WallTime(std::chrono::sys_days(Date)) + std::chrono::hours(Hour) +
         std::chrono::minutes(Minute) + std::chrono::seconds(Second) +
         Duration(*Fraction);
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string Address(Text.substr(0, Colon));
  auto Port = parseDigits(Text.substr(Colon + 1), 5);
  if (!Port || *Port > 65535)
    return std::nullopt;
  bool Bracketed = Address.starts_with('[') && Address.ends_with(']');
  if (Bracketed)
    Address = Address.substr(1, Address.size() - 2);
  if (!isAddress(Bracketed ? AF_INET6 : AF_INET, Address))
    return std::nullopt;
  return Endpoint(std::string(Text));
}

bool isAnyAddress(const Endpoint &Address) {
  return Address.str().starts_with("0.0.0.0:") ||
         Address.str().starts_with("[::]:");
}

std::uint16_t portOf(const Endpoint &Address) {
  std::string_view Text = Address.str();
  auto Port = parseDigits(Text.substr(Text.rfind(':') + 1), 5);
  return static_cast<std::uint16_t>(Port.value_or(0));
}

std::string formatDuration(Duration Value) {
  DurationUnit Best = DurationUnits.front();
  for (const DurationUnit &Unit : DurationUnits) {
    if (Value.count() != 0 && Value.count() % Unit.Microseconds == 0)
      Best = Unit;
  }
  if (Value.count() == 0)
    return "0s";
  return std::to_string(Value.count() / Best.Microseconds) +
         std::string(Best.Suffix);
}

std::string formatShare(Share Value) {
  std::uint32_t Decimals = Value.parts() % 100;
  std::string Text = std::to_string(Value.parts() / 100);
  if (Decimals != 0) {
    Text += Decimals < 10 ? ".0" : ".";
    Text += std::to_string(Decimals % 10 == 0 ? Decimals / 10 : Decimals);
  }
  return Text + '%';
}

std::string formatWallTime(WallTime Value) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(
      std::chrono::floor<std::chrono::seconds>(Value));
  std::tm Parts = {};
  std::array<char, 32> Buffer = {};
  if (::gmtime_r(&Seconds, &Parts) == nullptr)
    return "";
  std::size_t Length =
      std::strftime(Buffer.data(), Buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return std::string(Buffer.data(), Length);
}

} // namespace amaranthward
