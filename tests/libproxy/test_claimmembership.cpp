#include "libproxy/claimquorum.h"
#include "libproxy/claimtable.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

const ServiceName Catalogue("catalogue");
const ClaimTimes Times = {10s, 5s, 2s};

/// What a deliberately broken copy of the rules leaves out.
struct Broken {
  bool Majority = false;
  bool Young = false;
  bool Departed = false;
  bool HolderCheck = false;
};

/// One process: a gate that holds claims, and an entry.
struct Process {
  Member Self;
  ClaimRanking Ranking;
  ClaimTable Table;
  /// Member lists on their way to this process, by time of arrival.
  std::deque<std::pair<Instant, std::vector<Member>>> News;
  bool Alive = true;
  /// When it first saw itself in the news.
  std::optional<Instant> KnownSince;
  /// Claims that a broken copy records although it is not a holder.
  std::map<std::string, ClaimRecord> Unchecked;

  Process(Member Gate, ClaimTimes Given)
      : Self(Gate), Ranking(Gate.Node, Gate.Start, Given),
        Table(this->Ranking, Given) {}
};

/// Gates that join, crash and restart while a caller resends one key through
/// any of them. News of the members takes up to the view lag.
class ClaimWorld {
public:
  ClaimWorld(std::uint64_t Seed, Broken Missing)
      : Random(seededRandom(Seed)), Missing(Missing), Given(Times) {
    if (Missing.Departed)
      this->Given.MaxMembershipLag =
          -this->Given.Retention - this->Given.MaxCallDuration;
    std::uint64_t Count = 3 + this->Random() % 5;
    for (std::uint64_t Gate = 0; Gate < Count; ++Gate)
      this->join("n" + std::to_string(Gate));
    this->advance(60s);
  }

  /// Runs one key with resends over the time for which its claim matters.
  void episode() {
    this->Key = "key-" + std::to_string(++this->Episodes);
    this->RunAt.clear();
    std::uint64_t Sends = 2 + this->Random() % 4;
    for (std::uint64_t Send = 0; Send < Sends; ++Send) {
      std::uint64_t Racing = this->Random() % 4 == 0 ? 2 : 1;
      this->race(Racing);
      for (std::uint64_t Change = this->Random() % 3; Change > 0; --Change)
        this->change();
      this->advance(std::chrono::milliseconds(this->Random() % 6000));
    }
    // Two runs may not be closer than the time for which a claim lasts.
    for (std::size_t One = 1; One < this->RunAt.size(); ++One) {
      Duration Apart = this->RunAt[One] - this->RunAt[One - 1];
      if (Apart < Times.Retention + Times.MaxCallDuration)
        ++this->Violations;
    }
    this->advance(std::chrono::milliseconds(this->Random() % 30000));
  }

  int Violations = 0;
  int Grants = 0;
  int Requests = 0;
  int Changes = 0;

private:
  void join(const std::string &Name) {
    Member Gate;
    Gate.Node = NodeName(Name);
    Gate.Start = Incarnation(++this->LastIncarnation);
    Gate.PeerAddress = Endpoint("10.0.0.1:1");
    Gate.Service = Catalogue;
    this->All.push_back(std::make_unique<Process>(Gate, this->Given));
    this->publish();
  }

  void crash(Process &One) {
    One.Alive = false;
    this->publish();
  }

  void change() {
    ++this->Changes;
    Process &One = this->anyAlive();
    switch (this->Random() % 3) {
    case 0:
      this->join("m" + std::to_string(this->LastIncarnation));
      break;
    case 1:
      this->crash(One);
      this->join(One.Self.Node.str());
      break;
    default:
      if (this->aliveCount() > 3)
        this->crash(One);
      break;
    }
  }

  std::size_t aliveCount() const {
    return static_cast<std::size_t>(
        std::count_if(this->All.begin(), this->All.end(),
                      [](const auto &One) { return One->Alive; }));
  }

  Process &anyAlive() {
    while (true) {
      Process &One = *this->All[this->Random() % this->All.size()];
      if (One.Alive)
        return One;
    }
  }

  void publish() {
    std::vector<Member> Members;
    for (const auto &One : this->All) {
      if (One->Alive)
        Members.push_back(One->Self);
    }
    for (const auto &One : this->All) {
      Instant At = this->Now + Duration(this->Random() % 1900000);
      if (!One->News.empty())
        At = std::max(At, One->News.back().first);
      One->News.emplace_back(At, Members);
    }
  }

  void advance(Duration Time) {
    this->Now += Time;
    for (const auto &One : this->All) {
      while (!One->News.empty() && One->News.front().first <= this->Now) {
        auto [At, Members] = std::move(One->News.front());
        One->News.pop_front();
        One->Ranking.update(Members, At);
        if (!One->KnownSince && std::find(Members.begin(), Members.end(),
                                          One->Self) != Members.end())
          One->KnownSince = At;
      }
    }
    std::erase_if(this->All, [](const auto &One) { return !One->Alive; });
  }

  ClaimReply ask(const ClaimHolder &To, const ClaimCommand &Order) {
    for (const auto &One : this->All) {
      if (One->Self.Node == To.Node && One->Alive)
        return this->askProcess(*One, Order);
    }
    return {};
  }

  ClaimReply askProcess(Process &One, const ClaimCommand &Order) {
    using Kind = ClaimReply::Kind;
    ClaimReply Reply = One.Table.handle(Order, this->Now);
    bool Mature =
        One.KnownSince && *One.KnownSince + Times.horizon() <= this->Now;
    if (this->Missing.Departed && Reply.What == Kind::Granted && !Mature)
      Reply.What = Kind::Young;
    if (this->Missing.Young && Reply.What == Kind::Young)
      Reply.What = Kind::Granted;
    bool IsRefused = Reply.What == Kind::NotHolder &&
                     Order.What == ClaimCommand::Kind::Claim &&
                     Order.Holder == One.Self.Start;
    if (!this->Missing.HolderCheck || !IsRefused)
      return Reply;
    auto [Found, IsNew] = One.Unchecked.emplace(Order.Key, Order.Record);
    if (!IsNew && Found->second.Id != Order.Record.Id)
      return {Kind::Known, Found->second};
    return {Mature ? Kind::Granted : Kind::Young, Order.Record};
  }

  struct Request {
    Process *Entry = nullptr;
    ClaimQuorum Quorum;
    std::vector<ClaimHolder> Holders;
    RequestId Id;
    bool Counted = false;
  };

  struct Message {
    std::size_t From;
    ClaimQuorum::Outgoing Sent;
  };

  /// \param Replaced the attempt before of the same entry, which was not run.
  void begin(Process &Entry, std::optional<RequestId> Replaced) {
    ClaimCommand Order;
    Order.Service = Catalogue;
    Order.Key = this->Key;
    Order.Record = {{Entry.Self.Start, ++this->Sequence}, Entry.Self};
    Order.From = Replaced;
    Order.TimeLeft = Times.MaxCallDuration;
    auto Holders = Entry.Ranking.holders(Catalogue, this->Key, this->Now);
    this->Open.push_back(
        {&Entry, ClaimQuorum(Order, Holders), Holders, Order.Record.Id});
    ++this->Requests;
    this->post(this->Open.size() - 1, this->Open.back().Quorum.start());
  }

  void post(std::size_t From, std::vector<ClaimQuorum::Outgoing> Sent) {
    for (auto &One : Sent)
      this->Pending.push_back({From, std::move(One)});
  }

  void race(std::uint64_t Count) {
    this->Open.clear();
    for (std::uint64_t Index = 0; Index < Count; ++Index)
      this->begin(this->anyAlive(), std::nullopt);
    while (!this->Pending.empty()) {
      std::size_t Pick = this->Random() % this->Pending.size();
      Message One = this->Pending[Pick];
      this->Pending.erase(this->Pending.begin() +
                          static_cast<std::ptrdiff_t>(Pick));
      this->deliver(One);
    }
  }

  void deliver(const Message &One) {
    Request &From = this->Open[One.From];
    bool Lost = this->Random() % 10 == 0;
    bool AnswerLost = this->Random() % 10 == 0;
    ClaimReply Reply;
    if (!Lost)
      Reply = this->ask(From.Holders[One.Sent.Holder], One.Sent.Order);
    if (AnswerLost)
      Reply = {};
    if (One.Sent.Order.What == ClaimCommand::Kind::Claim)
      this->post(One.From, From.Quorum.onReply(One.Sent.Holder, Reply));
    if (From.Quorum.roundEnded())
      this->post(One.From, From.Quorum.retry());
    bool Granted =
        From.Quorum.outcome() &&
        From.Quorum.outcome()->What == ClaimQuorum::Outcome::Kind::Granted;
    if (this->Missing.Majority && Reply.What == ClaimReply::Kind::Granted)
      Granted = true;
    if (Granted && !From.Counted) {
      From.Counted = true;
      this->useGrant(One.From);
    }
  }

  // Most granted requests run. Some are refused by their gate and are tried
  // again under the next id, or given up.
  void useGrant(std::size_t Index) {
    ++this->Grants;
    std::uint64_t Fate = this->Random() % 8;
    if (Fate == 0)
      this->begin(*this->Open[Index].Entry, this->Open[Index].Id);
    else if (Fate == 1)
      this->post(Index, this->Open[Index].Quorum.release());
    else
      this->RunAt.push_back(this->Now);
  }

  RandomFunction Random;
  Broken Missing;
  ClaimTimes Given;
  std::vector<std::unique_ptr<Process>> All;
  Instant Now = Instant(1h);
  std::string Key;
  /// Times at which a request with the key ran.
  std::vector<Instant> RunAt;
  std::vector<Request> Open;
  std::vector<Message> Pending;
  std::uint64_t LastIncarnation = 0;
  std::uint64_t Sequence = 0;
  int Episodes = 0;
};

struct Totals {
  int Violations = 0;
  int Grants = 0;
  int Requests = 0;
  int Changes = 0;
};

Totals runWorlds(Broken Missing, std::uint64_t Seeds) {
  Totals All;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClaimWorld World(Seed, Missing);
    for (int Episode = 0; Episode < 30; ++Episode)
      World.episode();
    if (World.Violations > 0 && All.Violations == 0)
      MESSAGE("first violation in seed ", Seed);
    All.Violations += World.Violations;
    All.Grants += World.Grants;
    All.Requests += World.Requests;
    All.Changes += World.Changes;
  }
  MESSAGE("requests ", All.Requests, ", granted ", All.Grants, ", changes ",
          All.Changes, ", double runs ", All.Violations);
  return All;
}

} // namespace

TEST_CASE("no key runs twice while gates join, crash and restart") {
  // Guards against a change of the ranking between two requests, and against
  // entries and holders with different views.
  Totals All = runWorlds({}, 300);
  CHECK(All.Violations == 0);
  CHECK(All.Grants > 1000);
  CHECK(All.Changes > 1000);
}

TEST_CASE("each rule of the claims is needed") {
  // Guards against a simulation that could not find a double run. Each copy
  // leaves out one rule.
  Broken Missing;
  Missing.Majority = true;
  CHECK(runWorlds(Missing, 60).Violations > 0);
  Missing = {};
  Missing.Young = true;
  CHECK(runWorlds(Missing, 60).Violations > 0);
  Missing = {};
  Missing.Departed = true;
  CHECK(runWorlds(Missing, 60).Violations > 0);
  Missing = {};
  Missing.HolderCheck = true;
  CHECK(runWorlds(Missing, 60).Violations > 0);
}
