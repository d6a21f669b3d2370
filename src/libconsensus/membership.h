#ifndef AMARANTHWARD_LIBCONSENSUS_MEMBERSHIP_H
#define AMARANTHWARD_LIBCONSENSUS_MEMBERSHIP_H

#include "libconsensus/replicacore.h"
#include "libconsensus/replicator.h"
#include <map>
#include <set>

namespace amaranthward {

/// First formation, learners, and the replacement of a lost disk.
class Membership {
public:
  Membership(ReplicaCore &Core, Replicator &Leading);

  /// Sends hellos and, on the leader, makes the next change of the voter set.
  void tick(bool HasLiveLeader);
  void receiveHello(const ReplicaName &From, const Json &Message);
  void receiveForm(const ReplicaName &From, const Json &Message);
  void receiveVoters(const Json &Message);

  bool isPeer(const ReplicaName &Name) const;

private:
  /// The last hello of a replica.
  struct Hello {
    DiskIdentity Disk;
    bool Empty = false;
    bool HeardUs = false;
    Instant At;
  };

  bool isNamed(const ReplicaName &Name) const;
  /// All replicas that may know the leader.
  std::set<ReplicaName> helloTargets() const;
  void sendHello();
  void sendVoters(const ReplicaName &To, const DiskIdentity &Disk);
  bool canForm() const;
  void form();
  void sendForm(const ReplicaName &To, const DiskIdentity &Disk);
  bool writeFirstRecord(const std::string &Record);
  void repair();
  bool addOrReplace(const DiskIdentity &Disk, const ReplicaName &Name);
  std::optional<DiskIdentity> deadVoter() const;
  bool isCaughtUp(const Progress &Learner, const DiskIdentity &Disk) const;
  bool tryChange(VoterSet Changed, const char *Action, const ReplicaName &Name,
                 const DiskIdentity &Disk);

  ReplicaCore &Core;
  Replicator &Leading;
  std::map<ReplicaName, Hello> Hellos;
  /// Voters that another replica named.
  std::set<ReplicaName> Told;
  Instant NextHello;
};

} // namespace amaranthward

#endif
