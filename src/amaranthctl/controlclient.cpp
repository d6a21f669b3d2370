#include "amaranthctl/controlclient.h"

#include "libconfig/textunits.h"

namespace amaranthward {

namespace {

constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

std::string failureOf(const Endpoint &At, const std::string &Message) {
  if (Message.starts_with(At.str()))
    return Message;
  return At.str() + ": " + Message;
}

} // namespace

Result<ControlClient> ControlClient::create(std::vector<Endpoint> Replicas,
                                            Hooks Hooks) {
  if (Replicas.empty())
    return fail(ErrorCode::InvalidArgument, "no control replica is named");
  return ControlClient(std::move(Replicas), std::move(Hooks));
}

Result<ControlAnswer> ControlClient::call(const std::string &Method,
                                          const std::string &Target,
                                          const std::string &Body,
                                          Duration Patience) {
  HttpRequestHead Head;
  Head.Method = Method;
  Head.Target = Target;
  Head.BodyLength = Body.size();
  Instant End = this->Given.Now() + Patience;
  std::string Problem;
  while (true) {
    std::vector<Endpoint> Order = this->Replicas;
    if (!this->Preferred.empty())
      Order.insert(Order.begin(), this->Preferred);
    for (const Endpoint &At : Order) {
      auto Answer = this->ask(At, Head, Body);
      if (Answer)
        return Answer;
      Problem = Answer.error().Message;
      this->Preferred = Endpoint();
      if (this->Given.Now() >= End)
        return fail(ErrorCode::Unavailable, Problem);
    }
    this->Given.Sleep(RoundPause);
  }
}

Result<ControlAnswer> ControlClient::ask(Endpoint At,
                                         const HttpRequestHead &Head,
                                         const std::string &Body) {
  for (int Hop = 0; Hop <= MaxRedirects; ++Hop) {
    auto Response = this->Given.Send(At, Head, Body);
    if (!Response)
      return fail(ErrorCode::Unavailable,
                  failureOf(At, Response.error().Message));
    auto Value = parseJson(Response->Body);
    int Status = Response->Head.Status;
    if (Status == StatusUnavailable)
      return fail(ErrorCode::Unavailable,
                  failureOf(At, Value ? textAt(*Value, "message")
                                      : "the replica is unavailable"));
    if (Status != StatusMisdirected) {
      this->Preferred = At;
      if (!Value)
        return fail(ErrorCode::Unavailable,
                    failureOf(At, "status " + std::to_string(Status) +
                                      " without a JSON body"));
      return ControlAnswer{Status, std::move(*Value)};
    }
    auto Leader = parseEndpoint(Response->Head.Headers.get("Amaranth-Leader"));
    if (!Leader)
      return fail(ErrorCode::Unavailable, failureOf(At, "no leader is known"));
    At = *Leader;
  }
  return fail(ErrorCode::Unavailable,
              failureOf(At, "the replicas disagree on the leader"));
}

} // namespace amaranthward
