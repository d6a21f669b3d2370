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

/// Rules that a deliberately incomplete copy of the protocol omits.
struct OmittedRules {
  bool Majority = false;
  bool Immature = false;
  bool Departed = false;
  bool HolderCheck = false;
};

/// One process: a gate that holds claims, and an entry.
struct Process {
  Member Self;
  ClaimRanking Ranking;
  ClaimTable Table;
  /// Member lists in transit to this process, by time of arrival.
  std::deque<std::pair<Instant, std::vector<Member>>> PendingUpdates;
  bool Running = true;
  /// When it first received a member list that contains it.
  std::optional<Instant> KnownSince;
  /// Claims recorded while not being a holder, when HolderCheck is omitted.
  std::map<std::string, ClaimRecord> Unchecked;

  Process(Member Gate, ClaimTimes Given)
      : Self(Gate), Ranking(Gate.Node, Gate.Start, Given),
        Table(this->Ranking, Given) {}
};

/// Simulates gates that join, crash and restart while a caller resends one key
/// through any of them. A member list takes up to MaxMembershipLag to arrive.
class ClaimWorld {
public:
  ClaimWorld(std::uint64_t Seed, OmittedRules Omitted)
      : Random(seededRandom(Seed)), Omitted(Omitted), Given(Times) {
    if (Omitted.Departed)
      this->Given.MaxMembershipLag =
          -this->Given.Retention - this->Given.MaxCallDuration;
    std::uint64_t Count = 3 + this->Random() % 5;
    for (std::uint64_t Gate = 0; Gate < Count; ++Gate)
      this->join("n" + std::to_string(Gate));
    this->advance(60s);
  }

  /// Sends one key repeatedly over the time for which its claim is kept.
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
    // Two runs of one key within the lifetime of its claim are a violation.
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
    One.Running = false;
    this->publish();
  }

  void change() {
    ++this->Changes;
    Process &One = this->anyRunning();
    switch (this->Random() % 3) {
    case 0:
      this->join("m" + std::to_string(this->LastIncarnation));
      break;
    case 1:
      this->crash(One);
      this->join(One.Self.Node.str());
      break;
    default:
      if (this->runningCount() > 3)
        this->crash(One);
      break;
    }
  }

  std::size_t runningCount() const {
    return static_cast<std::size_t>(
        std::count_if(this->All.begin(), this->All.end(),
                      [](const auto &One) { return One->Running; }));
  }

  Process &anyRunning() {
    while (true) {
      Process &One = *this->All[this->Random() % this->All.size()];
      if (One.Running)
        return One;
    }
  }

  void publish() {
    std::vector<Member> Members;
    for (const auto &One : this->All) {
      if (One->Running)
        Members.push_back(One->Self);
    }
    for (const auto &One : this->All) {
      Instant At = this->Now + Duration(this->Random() % 1900000);
      if (!One->PendingUpdates.empty())
        At = std::max(At, One->PendingUpdates.back().first);
      One->PendingUpdates.emplace_back(At, Members);
    }
  }

  void advance(Duration Time) {
    this->Now += Time;
    for (const auto &One : this->All) {
      while (!One->PendingUpdates.empty() &&
             One->PendingUpdates.front().first <= this->Now) {
        auto [At, Members] = std::move(One->PendingUpdates.front());
        One->PendingUpdates.pop_front();
        One->Ranking.update(Members, At);
        if (!One->KnownSince && std::find(Members.begin(), Members.end(),
                                          One->Self) != Members.end())
          One->KnownSince = At;
      }
    }
    std::erase_if(this->All, [](const auto &One) { return !One->Running; });
  }

  ClaimReply ask(const ClaimHolder &To, const ClaimCommand &Command) {
    for (const auto &One : this->All) {
      if (One->Self.Node == To.Node && One->Running)
        return this->askProcess(*One, Command);
    }
    return {};
  }

  ClaimReply askProcess(Process &One, const ClaimCommand &Command) {
    using Kind = ClaimReply::Kind;
    ClaimReply Reply = One.Table.handle(Command, this->Now);
    bool Mature =
        One.KnownSince && *One.KnownSince + Times.horizon() <= this->Now;
    if (this->Omitted.Departed && Reply.Type == Kind::Granted && !Mature)
      Reply.Type = Kind::Immature;
    if (this->Omitted.Immature && Reply.Type == Kind::Immature)
      Reply.Type = Kind::Granted;
    bool IsRefused = Reply.Type == Kind::NotHolder &&
                     Command.Type == ClaimCommand::Kind::Claim &&
                     Command.Holder == One.Self.Start;
    if (!this->Omitted.HolderCheck || !IsRefused)
      return Reply;
    auto [Found, IsNew] = One.Unchecked.emplace(Command.Key, Command.Record);
    if (!IsNew && Found->second.Id != Command.Record.Id)
      return {Kind::Known, Found->second};
    return {Mature ? Kind::Granted : Kind::Immature, Command.Record};
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

  /// \param Replaced previous attempt of the same entry, which was not run.
  void begin(Process &Entry, std::optional<RequestId> Replaced) {
    ClaimCommand Command;
    Command.Service = Catalogue;
    Command.Key = this->Key;
    Command.Record = {{Entry.Self.Start, ++this->Sequence}, Entry.Self};
    Command.PreviousId = Replaced;
    Command.TimeLeft = Times.MaxCallDuration;
    auto Holders = Entry.Ranking.holders(Catalogue, this->Key, this->Now);
    this->Open.push_back(
        {&Entry, ClaimQuorum(Command, Holders), Holders, Command.Record.Id});
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
      this->begin(this->anyRunning(), std::nullopt);
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
    bool ReplyLost = this->Random() % 10 == 0;
    ClaimReply Reply;
    if (!Lost)
      Reply = this->ask(From.Holders[One.Sent.Holder], One.Sent.Command);
    if (ReplyLost)
      Reply = {};
    if (One.Sent.Command.Type == ClaimCommand::Kind::Claim)
      this->post(One.From, From.Quorum.onReply(One.Sent.Holder, Reply));
    if (From.Quorum.roundEnded())
      this->post(One.From, From.Quorum.retry());
    bool Granted =
        From.Quorum.outcome() &&
        From.Quorum.outcome()->Type == ClaimQuorum::Outcome::Kind::Granted;
    if (this->Omitted.Majority && Reply.Type == ClaimReply::Kind::Granted)
      Granted = true;
    if (Granted && !From.Counted) {
      From.Counted = true;
      this->useGrant(One.From);
    }
  }

  // Most granted requests run. Some are refused by their gate and are retried
  // with the next id, or release their claim.
  void useGrant(std::size_t Index) {
    ++this->Grants;
    std::uint64_t Choice = this->Random() % 8;
    if (Choice == 0)
      this->begin(*this->Open[Index].Entry, this->Open[Index].Id);
    else if (Choice == 1)
      this->post(Index, this->Open[Index].Quorum.release());
    else
      this->RunAt.push_back(this->Now);
  }

  RandomFunction Random;
  OmittedRules Omitted;
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

Totals runWorlds(OmittedRules Omitted, std::uint64_t Seeds) {
  Totals All;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClaimWorld World(Seed, Omitted);
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

TEST_CASE("omitting any rule of the claims allows a double run") {
  // Guards against a simulation that cannot detect a double run: with any one
  // rule omitted it must find one.
  OmittedRules Omitted;
  Omitted.Majority = true;
  CHECK(runWorlds(Omitted, 60).Violations > 0);
  Omitted = {};
  Omitted.Immature = true;
  CHECK(runWorlds(Omitted, 60).Violations > 0);
  Omitted = {};
  Omitted.Departed = true;
  CHECK(runWorlds(Omitted, 60).Violations > 0);
  Omitted = {};
  Omitted.HolderCheck = true;
  CHECK(runWorlds(Omitted, 60).Violations > 0);
}
