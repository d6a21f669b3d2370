#include "libcontrol/operatorapi.h"

#include "libconfig/configurationreader.h"
#include <algorithm>
#include <charconv>

namespace amaranthward {

namespace {

// Value of a query parameter; 0 when it is absent or no number.
std::uint64_t numberParameter(const HttpRequestHead &Request,
                              const std::string &Name) {
  std::string Text = queryValue(Request.Target, Name);
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

Json describe(const Findings &Problems) {
  Json List = Json::array();
  for (const Finding &Problem : Problems) {
    const char *Level = Problem.Level == Severity::Error ? "error" : "warning";
    List.push_back({{"severity", Level},
                    {"file", Problem.Where.File},
                    {"line", Problem.Where.Line},
                    {"column", Problem.Where.Column},
                    {"message", Problem.Message},
                    {"remedy", Problem.Remedy}});
  }
  return {{"findings", List}};
}

Json describeAccepted(const ApplyOutcome &Outcome) {
  return {{"outcome", "accepted"},
          {"revision", Outcome.Winner.AcceptedIn.value()},
          {"digest", Outcome.Winner.Digest},
          {"repeated", Outcome.What == ApplyOutcome::Kind::Repeated}};
}

Json describeRefused(const ApplyOutcome &Outcome) {
  bool Stale = Outcome.What == ApplyOutcome::Kind::Stale;
  std::string Version = std::to_string(Outcome.Winner.Version.value());
  std::string Message =
      Stale ? "version " + Version + " has been accepted already"
            : "version " + Version + " was accepted with other content";
  return {{"outcome", Stale ? "stale" : "conflict"},
          {"message", Message},
          {"winner_version", Outcome.Winner.Version.value()},
          {"winner_digest", Outcome.Winner.Digest},
          {"revision", Outcome.Winner.AcceptedIn.value()}};
}

bool isAccepted(const ApplyOutcome &Outcome) {
  return Outcome.What == ApplyOutcome::Kind::Accepted ||
         Outcome.What == ApplyOutcome::Kind::Repeated;
}

} // namespace

Result<std::unique_ptr<OperatorApi>>
OperatorApi::create(EventLoop &Loop, ControlService &Service, Metrics &Registry,
                    AddressOfReplica FindAddress) {
  return std::unique_ptr<OperatorApi>(
      new OperatorApi(Loop, Service, Registry, std::move(FindAddress)));
}

void OperatorApi::addRoutes(HttpRouter &Router) {
  Router.post("/v1/configurations", MaxConfigurationBytes,
              [this](auto Exchange, std::string Body) {
                this->submit(Exchange, std::move(Body));
              });
  Router.get("/v1/status", [this](auto Exchange) {
    if (!this->Service.isLeader())
      return this->redirect(*Exchange);
    respondJson(*Exchange, 200, this->Service.status());
  });
  Router.get("/v1/moves", [this](auto Exchange) { this->moves(Exchange); });
  Router.get("/v1/history", [this](auto Exchange) {
    respondJson(*Exchange, 200, this->Service.history());
  });
  Router.get("/v1/dump", [this](auto Exchange) { this->dump(*Exchange); });
}

void OperatorApi::redirect(ServerExchange &Exchange) const {
  ReplicaName Leader = this->Service.leader();
  if (Leader.empty()) {
    Json Body = {{"outcome", "unavailable"},
                 {"message", "no leader is known; try again"}};
    return respondJson(Exchange, 503, Body);
  }
  HttpHeaders Hint;
  Hint.add("Amaranth-Leader", this->FindAddress(Leader).str());
  respondJson(Exchange, 421,
              {{"outcome", "not-leader"}, {"leader", Leader.str()}},
              std::move(Hint));
}

void OperatorApi::submit(std::shared_ptr<ServerExchange> Exchange,
                         std::string Body) {
  this->Service.submit(Body, [this, Exchange](SubmitAnswer Answer) {
    this->answer(*Exchange, Answer);
  });
}

void OperatorApi::answer(ServerExchange &Exchange,
                         const SubmitAnswer &Answer) const {
  if (Answer.Outcome && isAccepted(*Answer.Outcome))
    return respondJson(Exchange, 200, describeAccepted(*Answer.Outcome));
  if (Answer.Outcome)
    return respondJson(Exchange, 409, describeRefused(*Answer.Outcome));
  if (!Answer.Failure)
    return respondJson(Exchange, 422, describe(Answer.Problems));
  if (Answer.Failure->Code == ErrorCode::Refused)
    return this->redirect(Exchange);
  respondJson(
      Exchange, 503,
      {{"outcome", "unavailable"}, {"message", Answer.Failure->Message}});
}

void OperatorApi::moves(std::shared_ptr<ServerExchange> Exchange) {
  std::uint64_t After = numberParameter(Exchange->request(), "after");
  Duration Wait = std::chrono::milliseconds(std::min<std::uint64_t>(
      numberParameter(Exchange->request(), "wait_ms"),
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxMovesWait)
          .count()));
  bool HasNewEvents = this->Service.data().LastEvent > After;
  if (HasNewEvents || Wait == Duration::zero())
    return respondJson(*Exchange, 200, this->Service.moves(After));
  auto Entry = this->Waiting.insert(this->Waiting.end(),
                                    WaitingRequest{Exchange, After, 0});
  Entry->Timer =
      this->Loop.after(Wait, [this, Entry] { this->finishWaiting(Entry); });
  ServerExchange::Hooks Hooks;
  Hooks.OnAborted = [this, Entry] {
    this->Loop.cancel(Entry->Timer);
    this->Waiting.erase(Entry);
  };
  Exchange->setHooks(std::move(Hooks));
}

void OperatorApi::finishWaiting(std::list<WaitingRequest>::iterator Entry) {
  WaitingRequest Finished = std::move(*Entry);
  this->Loop.cancel(Finished.Timer);
  this->Waiting.erase(Entry);
  Finished.Exchange->setHooks({});
  respondJson(*Finished.Exchange, 200, this->Service.moves(Finished.After));
}

void OperatorApi::onChange() {
  for (auto Entry = this->Waiting.begin(); Entry != this->Waiting.end();) {
    auto Next = std::next(Entry);
    if (this->Service.data().LastEvent > Entry->After)
      this->finishWaiting(Entry);
    Entry = Next;
  }
}

void OperatorApi::dump(ServerExchange &Exchange) const {
  Json Body = this->Service.dump();
  Body["metrics"] = this->Registry.toJson();
  Body["longest_loop_pause_us"] = this->Loop.longestPause().count();
  respondJson(Exchange, 200, Body);
}

} // namespace amaranthward
