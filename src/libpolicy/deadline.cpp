#include "libpolicy/deadline.h"

#include <algorithm>
#include <charconv>

namespace amaranthward {

namespace {

/// Longer timeouts and header values are reduced to this.
constexpr Duration MaxTimeLeft = std::chrono::hours(24);
constexpr std::size_t MaxDecimals = 3;

Result<Duration> invalidHeader() {
  return fail(ErrorCode::InvalidArgument,
              "Amaranth-Deadline-Ms must be a number of milliseconds with at "
              "most 3 decimals");
}

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= '0' && C <= '9';
  });
}

} // namespace

Deadline Deadline::derive(Instant Now, Duration RouteTimeout,
                          Duration CallerTimeLeft) {
  Duration Left =
      std::min({RouteTimeout, CallerTimeLeft, Duration(MaxTimeLeft)});
  return Deadline(Now + std::max(Left, Duration::zero()));
}

Duration Deadline::left(Instant Now) const {
  return std::max(this->At - Now, Duration::zero());
}

Deadline Deadline::forNextHop(Instant Now) const {
  Duration Left = this->left(Now);
  Duration Allowance =
      std::clamp(Left / HopDivisor, MinHopAllowance, MaxHopAllowance);
  return Deadline(Now + std::max(Left - Allowance, Duration::zero()));
}

std::string Deadline::toHeader(Instant Now) const {
  Duration::rep Left = this->left(Now).count();
  std::string Text = std::to_string(Left / 1000);
  std::string Decimals = std::to_string(1000 + Left % 1000);
  return Text + "." + Decimals.substr(1);
}

std::string Deadline::toWholeMilliseconds(Instant Now) const {
  return std::to_string(this->left(Now).count() / 1000);
}

Result<Duration> Deadline::parseHeader(std::string_view Text) {
  std::size_t Point = Text.find('.');
  std::string_view Whole = Text.substr(0, Point);
  std::string Decimals;
  if (Point != std::string_view::npos) {
    Decimals = Text.substr(Point + 1);
    if (!isDigits(Decimals) || Decimals.size() > MaxDecimals)
      return invalidHeader();
  }
  if (!isDigits(Whole))
    return invalidHeader();
  Decimals.resize(MaxDecimals, '0');
  std::uint64_t Millis = 0;
  auto Parsed =
      std::from_chars(Whole.data(), Whole.data() + Whole.size(), Millis);
  auto Longest = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxTimeLeft)
          .count());
  if (Parsed.ec != std::errc() || Millis >= Longest)
    return MaxTimeLeft;
  return Duration(static_cast<Duration::rep>(Millis) * 1000 +
                  std::stoi(Decimals));
}

} // namespace amaranthward
