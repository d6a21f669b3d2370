#include "libproxy/callheaders.h"
#include "libconfig/configurationset.h"
#include "libnet/messagehead.h"
#include "libpolicy/deadline.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace amaranthward {

namespace {

constexpr std::array<std::string_view, 10> HopByHop = {"Connection",
                                                       "Keep-Alive",
                                                       "Proxy-Connection",
                                                       "TE",
                                                       "Trailer",
                                                       "Transfer-Encoding",
                                                       "Upgrade",
                                                       "Expect",
                                                       "Proxy-Authenticate",
                                                       "Proxy-Authorization"};
constexpr std::string_view OwnPrefix = "Amaranth-";

bool isHopByHop(const std::string &Name) {
  if (::strncasecmp(Name.c_str(), OwnPrefix.data(), OwnPrefix.size()) == 0)
    return true;
  return std::any_of(
      HopByHop.begin(), HopByHop.end(), [&Name](std::string_view Each) {
        return Each.size() == Name.size() &&
               ::strncasecmp(Each.data(), Name.data(), Name.size()) == 0;
      });
}

std::optional<std::uint64_t> numberOf(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Code != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

tl::unexpected<Error> malformed(const char *Name) {
  return fail(ErrorCode::InvalidArgument,
              std::string("missing or malformed ") + Name);
}

} // namespace

const char *toString(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

std::optional<Outcome> outcomeOf(const HttpHeaders &Headers) {
  std::string Text = Headers.get(header::Outcome);
  for (Outcome Each : {Outcome::Answered, Outcome::NotRun, Outcome::Unknown})
    if (Text == toString(Each))
      return Each;
  return std::nullopt;
}

HttpHeaders outcomeFields(Outcome Value, const std::string &Reason) {
  HttpHeaders Fields;
  Fields.add(header::Outcome, toString(Value));
  if (!Reason.empty())
    Fields.add(header::Reason, Reason);
  return Fields;
}

std::string RequestId::str() const {
  return std::to_string(this->Entry.value()) + "-" +
         std::to_string(this->Sequence);
}

std::optional<RequestId> RequestId::parse(const std::string &Text) {
  std::string_view View = Text;
  std::size_t Dash = View.find('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  auto Entry = numberOf(View.substr(0, Dash));
  auto Sequence = numberOf(View.substr(Dash + 1));
  if (!Entry || !Sequence)
    return std::nullopt;
  return RequestId{Incarnation(*Entry), *Sequence};
}

Result<ForwardedRequest> parseForwarded(const HttpHeaders &Headers) {
  ForwardedRequest Found;
  auto Id = RequestId::parse(Headers.get(header::RequestId));
  if (!Id)
    return malformed(header::RequestId);
  Found.Id = *Id;
  auto Gate = numberOf(Headers.get(header::Incarnation));
  if (!Gate)
    return malformed(header::Incarnation);
  Found.ExpectedGate = Incarnation(*Gate);
  auto Sender = numberOf(Headers.get(header::Revision));
  if (!Sender)
    return malformed(header::Revision);
  Found.SenderRevision = Revision(*Sender);
  auto Left = Deadline::parseHeader(Headers.get(header::DeadlineMs));
  if (!Left)
    return tl::make_unexpected(Left.error());
  Found.TimeLeft = *Left;
  auto Class = callClassOf(Headers.get(header::Class));
  if (!Class)
    return malformed(header::Class);
  Found.Class = *Class;
  Found.Route = RouteName(Headers.get(header::Route));
  Found.Version = VersionName(Headers.get(header::Version));
  Found.Attach = Headers.get(header::Attach) == "1";
  Found.Keyed = Headers.has(header::IdempotencyKey);
  return Found;
}

HttpHeaders endToEnd(const HttpHeaders &Headers) {
  HttpHeaders Kept;
  bool HasConnection = Headers.has("Connection");
  for (const auto &[Name, Value] : Headers.fields())
    if (!isHopByHop(Name) && (!HasConnection || !connectionHas(Headers, Name)))
      Kept.add(Name, Value);
  return Kept;
}

Result<CallClass> classOf(CallClass RouteClass, const HttpHeaders &Headers) {
  if (!Headers.has(header::Class))
    return RouteClass;
  auto Requested = callClassOf(Headers.get(header::Class));
  if (!Requested)
    return malformed(header::Class);
  return std::max(RouteClass, *Requested);
}

} // namespace amaranthward
