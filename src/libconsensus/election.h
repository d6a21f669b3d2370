#ifndef AMARANTHWARD_LIBCONSENSUS_ELECTION_H
#define AMARANTHWARD_LIBCONSENSUS_ELECTION_H

#include "libconsensus/replicacore.h"
#include <functional>
#include <optional>
#include <set>

namespace amaranthward {

/// Election timers, pre-votes and votes of one replica.
class Election {
public:
  /// \a OnElected is called after the core has become the leader.
  Election(ReplicaCore &Core, std::function<void()> OnElected);

  void tick();
  /// A message of the current term's leader arrived.
  void noteLeader();
  /// Keeps this replica from campaigning for \a Delay.
  void holdOff(Duration Delay);
  /// True if this replica leads or heard a leader within the election timeout.
  bool hasLiveLeader() const;

  void receivePreVote(const ReplicaName &From, const Json &Message);
  void receivePreVoteReply(const Json &Message);
  void receiveVote(const ReplicaName &From, const Json &Message);
  void receiveVoteReply(const Json &Message);
  /// The leader asks this replica to take over at once.
  void receiveTimeoutNow();

private:
  void resetTimer();
  /// The election time-out or that part of it; a shorter one before the
  /// first leader since the start.
  Duration timeout(int Divisor) const;
  /// Draws a time from one to two times \a Timeout.
  void resetTimer(Duration Timeout);
  void startPreVote();
  void startElection(bool Transfer);
  void requestVotes(const char *Type, Json Body);
  bool hasCurrentLog(const Json &Message) const;
  bool hasSameLog(const Json &Message) const;
  bool won() const;
  void lead();

  ReplicaCore &Core;
  std::function<void()> OnElected;
  Instant Deadline;
  std::optional<Instant> LeaderHeard;
  /// Whether there was a leader, this replica or another, since the start.
  bool MetLeader = false;
  std::set<DiskIdentity> Granted;
};

} // namespace amaranthward

#endif
