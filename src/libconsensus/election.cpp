#include "libconsensus/election.h"

#include "libconsensus/wire.h"

namespace amaranthward {

namespace {

/// A campaign without a majority is repeated after this part of the election
/// time-out: the leader is known to be gone, so only answers are awaited.
constexpr int CampaignDivisor = 2;
/// Until it has met a leader since its start, a replica campaigns after this
/// part of the election time-out: after a restart of everything nobody leads,
/// and a pre-vote does not disturb a leader that others hear.
constexpr int StartDivisor = 5;

} // namespace

Election::Election(ReplicaCore &Core, std::function<void()> OnElected)
    : Core(Core), OnElected(std::move(OnElected)) {
  this->resetTimer();
}

void Election::resetTimer() { this->resetTimer(this->timeout(1)); }

Duration Election::timeout(int Divisor) const {
  return this->Core.options().ElectionTimeout /
         (this->MetLeader ? Divisor : StartDivisor);
}

void Election::resetTimer(Duration Timeout) {
  auto Spread = static_cast<std::uint64_t>(Timeout.count());
  auto Extra = this->Core.hooks().Random() % (Spread + 1);
  this->Deadline =
      this->Core.now() + Timeout + Duration(static_cast<Duration::rep>(Extra));
}

void Election::holdOff(Duration Delay) {
  this->resetTimer();
  this->Deadline += Delay;
}

void Election::noteLeader() {
  this->LeaderHeard = this->Core.now();
  this->MetLeader = true;
  this->resetTimer();
}

bool Election::hasLiveLeader() const {
  if (this->Core.isLeader())
    return true;
  return this->LeaderHeard && this->Core.now() - *this->LeaderHeard <
                                  this->Core.options().ElectionTimeout;
}

void Election::tick() {
  if (this->Core.isLeader() || this->Core.now() < this->Deadline)
    return;
  this->resetTimer();
  if (!this->Core.leader().empty() || !this->Core.isVoter())
    this->Core.becomeFollower(ReplicaName());
  // A replica whose disk is not in the voter set may have lost entries that
  // it once acknowledged; it neither campaigns nor counts.
  if (this->Core.isVoter())
    this->startPreVote();
}

bool Election::won() const {
  return this->Core.voters().hasMajority([this](const DiskIdentity &Disk) {
    return this->Granted.contains(Disk);
  });
}

void Election::requestVotes(const char *Type, Json Body) {
  Body["last_index"] = this->Core.log().lastIndex().value();
  Body["last_term"] = this->Core.lastTerm().value();
  for (const auto &[Disk, Replica] : this->Core.voters().Voters)
    if (Disk != this->Core.identity())
      this->Core.send(Replica, Disk, Type, Body);
}

void Election::startPreVote() {
  this->Core.becomeCandidate(Role::PreCandidate);
  this->resetTimer(this->timeout(CampaignDivisor));
  this->Granted = {this->Core.identity()};
  if (this->won())
    return this->startElection(/*Transfer=*/false);
  this->requestVotes(wire::PreVote,
                     {{"next_term", this->Core.term().next().value()}});
}

void Election::startElection(bool Transfer) {
  if (!this->Core.persistTerm(this->Core.term().next(),
                              this->Core.identity())) {
    this->Core.becomeFollower(ReplicaName());
    return;
  }
  this->Core.becomeCandidate(Role::Candidate);
  this->resetTimer(this->timeout(CampaignDivisor));
  this->Granted = {this->Core.identity()};
  if (this->won())
    return this->lead();
  this->requestVotes(wire::Vote, {{"transfer", Transfer}});
}

bool Election::hasCurrentLog(const Json &Message) const {
  Term LastTerm(numberAt(Message, "last_term"));
  LogIndex LastIndex(numberAt(Message, "last_index"));
  if (LastTerm != this->Core.lastTerm())
    return LastTerm > this->Core.lastTerm();
  return LastIndex >= this->Core.log().lastIndex();
}

bool Election::hasSameLog(const Json &Message) const {
  return Term(numberAt(Message, "last_term")) == this->Core.lastTerm() &&
         LogIndex(numberAt(Message, "last_index")) ==
             this->Core.log().lastIndex();
}

void Election::receivePreVote(const ReplicaName &From, const Json &Message) {
  Term Next(numberAt(Message, "next_term"));
  // Of two replicas that campaign at the same time one gives way; otherwise
  // each would vote for itself and both would wait for another time-out.
  bool Rival = this->Core.role() == Role::PreCandidate &&
               this->Core.identity().str() < textAt(Message, "from");
  bool Grant = !this->hasLiveLeader() && Next > this->Core.term() &&
               this->hasCurrentLog(Message) &&
               !(Rival && this->hasSameLog(Message));
  this->Core.send(From, DiskIdentity(textAt(Message, "from")),
                  wire::PreVoteReply,
                  {{"granted", Grant}, {"next_term", Next.value()}});
}

void Election::receivePreVoteReply(const Json &Message) {
  DiskIdentity From(textAt(Message, "from"));
  bool Current =
      Term(numberAt(Message, "next_term")) == this->Core.term().next();
  if (this->Core.role() != Role::PreCandidate || !Current ||
      !boolAt(Message, "granted"))
    return;
  this->Granted.insert(From);
  if (this->won())
    this->startElection(/*Transfer=*/false);
}

void Election::receiveVote(const ReplicaName &From, const Json &Message) {
  DiskIdentity Candidate(textAt(Message, "from"));
  Term Requested(numberAt(Message, "term"));
  bool NewTerm = Requested > this->Core.term();
  // A candidate that lost contact must not unseat a leader that others hear.
  if (NewTerm && this->hasLiveLeader() && !boolAt(Message, "transfer"))
    return;
  bool Free =
      NewTerm || this->Core.vote().empty() || this->Core.vote() == Candidate;
  bool Grant =
      Requested >= this->Core.term() && Free && this->hasCurrentLog(Message);
  if (NewTerm) {
    if (!this->Core.persistTerm(Requested, Grant ? Candidate : DiskIdentity()))
      return;
    this->Core.becomeFollower(ReplicaName());
  } else if (Grant && this->Core.vote().empty()) {
    if (!this->Core.persistTerm(Requested, Candidate))
      return;
  }
  if (Grant)
    this->resetTimer();
  this->Core.send(From, Candidate, wire::VoteReply, {{"granted", Grant}});
}

void Election::receiveVoteReply(const Json &Message) {
  bool Current = Term(numberAt(Message, "term")) == this->Core.term();
  if (this->Core.role() != Role::Candidate || !Current ||
      !boolAt(Message, "granted"))
    return;
  this->Granted.insert(DiskIdentity(textAt(Message, "from")));
  if (this->won())
    this->lead();
}

void Election::lead() {
  this->MetLeader = true;
  this->Core.becomeLeader();
  this->OnElected();
}

void Election::receiveTimeoutNow() {
  if (this->Core.isVoter() && !this->Core.isLeader())
    this->startElection(/*Transfer=*/true);
}

} // namespace amaranthward
