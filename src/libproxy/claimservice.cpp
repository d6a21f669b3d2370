#include "libproxy/claimservice.h"

#include "libproxy/claimcodec.h"

namespace amaranthward {

namespace {

ClaimAnswer answerOf(const ClaimQuorum::Outcome &Outcome) {
  using Kind = ClaimQuorum::Outcome::Kind;
  switch (Outcome.Type) {
  case Kind::Granted:
    return {ClaimAnswer::Kind::Granted, {}, {}};
  case Kind::Existing:
    return {ClaimAnswer::Kind::Attach, Outcome.Winner.Id, Outcome.Winner.Gate};
  case Kind::Unknown:
    break;
  }
  return {};
}

} // namespace

ClaimService::ClaimService(EventLoop &Loop, HttpClient &Client,
                           const NodeIdentity &Self, ClaimTimes Times)
    : Loop(Loop), Client(Client), Ranking(Self.Node, Self.Start, Times),
      Table(this->Ranking, Times) {}

Result<std::unique_ptr<ClaimService>>
ClaimService::create(EventLoop &Loop, HttpClient &Client,
                     const NodeIdentity &Self, ClaimTimes Times) {
  return std::unique_ptr<ClaimService>(
      new ClaimService(Loop, Client, Self, Times));
}

void ClaimService::update(const ProxyState &State, bool IsSafe) {
  Instant Now = this->Loop.now();
  this->Ranking.update(State.Members, Now);
  if (!State.View || !IsSafe)
    return;
  this->Ranking.recordServices(
      [&State](const ServiceName &Name) {
        return State.View->service(Name) != nullptr;
      },
      Now);
}

void ClaimService::addPeerRoutes(HttpRouter &Router) {
  Router.post("/v1/claims", MaxJsonBodyBytes,
              [this](auto Exchange, const std::string &Body) {
                auto Value = parseJson(Body);
                if (!Value)
                  return respondError(*Exchange, 400, Value.error().Message);
                auto Command = claimCommandFromJson(*Value);
                if (!Command)
                  return respondError(*Exchange, 400, Command.error().Message);
                ClaimReply Reply =
                    this->Table.handle(*Command, this->Loop.now());
                respondJson(*Exchange, 200, toJson(Reply));
              });
}

void ClaimService::claim(const ClaimRequest &Request,
                         std::function<void(ClaimAnswer)> OnAnswer) {
  Instant Now = this->Loop.now();
  ClaimCommand Command;
  Command.Service = Request.Service;
  Command.Key = Request.Key;
  Command.Record = {Request.Id, Request.Gate};
  Command.PreviousId = Request.Replaces;
  Command.TimeLeft = Request.Until.left(Now);
  auto Placed = std::make_shared<Pending>(
      std::move(Command),
      this->Ranking.holders(Request.Service, Request.Key, Now));
  Placed->Until = Request.Until;
  Placed->OnAnswer = std::move(OnAnswer);
  this->send(Placed, Placed->Quorum.start());
  this->conclude(Placed);
}

void ClaimService::release(const ServiceName &Service, const std::string &Key,
                           const RequestId &Id) {
  ClaimCommand Command;
  Command.Type = ClaimCommand::Kind::Release;
  Command.Service = Service;
  Command.Key = Key;
  Command.Record.Id = Id;
  for (const ClaimHolder &Each :
       this->Ranking.holders(Service, Key, this->Loop.now())) {
    Command.Holder = Each.Start;
    this->post(Each.Address, Command, [](const ClaimReply &) {});
  }
}

void ClaimService::send(const std::shared_ptr<Pending> &Placed,
                        std::vector<ClaimQuorum::Outgoing> Messages) {
  for (const ClaimQuorum::Outgoing &Each : Messages) {
    bool IsClaim = Each.Command.Type == ClaimCommand::Kind::Claim;
    this->post(
        Each.Address, Each.Command,
        [this, Placed, IsClaim, Holder = Each.Holder](const ClaimReply &Reply) {
          if (IsClaim)
            this->onReply(Placed, Holder, Reply);
        });
  }
}

void ClaimService::post(const Endpoint &Address, const ClaimCommand &Command,
                        std::function<void(const ClaimReply &)> OnReply) {
  if (Command.Holder == this->Ranking.self()) {
    // Posted, so that the reply arrives after this call returns, like the reply
    // of another node.
    this->Loop.post([this, Command, OnReply] {
      OnReply(this->Table.handle(Command, this->Loop.now()));
    });
    return;
  }
  HttpRequestHead Head;
  Head.Method = "POST";
  Head.Target = "/v1/claims";
  Head.Headers.add("Content-Type", "application/json");
  this->Client.call(Address, Head, dumpJson(toJson(Command)),
                    HolderReplyTimeout, MaxJsonBodyBytes,
                    [OnReply](Result<HttpResponse> Done) {
                      ClaimReply Reply;
                      if (Done && Done->Head.Status == 200) {
                        auto Value = parseJson(Done->Body);
                        auto Read = Value ? claimReplyFromJson(*Value)
                                          : Result<ClaimReply>(Reply);
                        Reply = Read.value_or(Reply);
                      }
                      OnReply(Reply);
                    });
}

void ClaimService::onReply(const std::shared_ptr<Pending> &Placed,
                           std::size_t Holder, const ClaimReply &Reply) {
  this->send(Placed, Placed->Quorum.onReply(Holder, Reply));
  if (!Placed->Quorum.outcome() && Placed->Quorum.roundEnded()) {
    this->Loop.after(ClaimQuorum::RetryInterval, [this, Placed] {
      bool Late = Placed->Until.expired(this->Loop.now());
      this->send(Placed,
                 Late ? Placed->Quorum.giveUp() : Placed->Quorum.retry());
      this->conclude(Placed);
    });
  }
  this->conclude(Placed);
}

void ClaimService::conclude(const std::shared_ptr<Pending> &Placed) {
  if (Placed->Answered || !Placed->Quorum.outcome())
    return;
  Placed->Answered = true;
  Placed->OnAnswer(answerOf(*Placed->Quorum.outcome()));
}

} // namespace amaranthward
