#ifndef AMARANTHWARD_LIBCONSENSUS_VOTERSET_H
#define AMARANTHWARD_LIBCONSENSUS_VOTERSET_H

#include "libcore/ids.h"
#include "libcore/json.h"
#include "libcore/result.h"
#include <functional>
#include <map>
#include <optional>

namespace amaranthward {

/// The disks that vote, with the replica that holds each, and the cluster they
/// form. Empty before the first formation.
struct VoterSet {
  ClusterId Cluster;
  std::map<DiskIdentity, ReplicaName> Voters;

  bool empty() const { return this->Voters.empty(); }
  bool contains(const DiskIdentity &Disk) const {
    return this->Voters.contains(Disk);
  }
  std::size_t majority() const { return this->Voters.size() / 2 + 1; }
  /// True if \a Holds is true for a majority of the voters.
  bool
  hasMajority(const std::function<bool(const DiskIdentity &)> &Holds) const;
  /// The voting disk of a replica, if it has one.
  std::optional<DiskIdentity> diskOf(const ReplicaName &Replica) const;

  Json toJson() const;
  static Result<VoterSet> parse(const Json &Value);
};

} // namespace amaranthward

#endif
