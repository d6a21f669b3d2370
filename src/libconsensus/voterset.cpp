#include "libconsensus/voterset.h"

namespace amaranthward {

bool VoterSet::hasMajority(
    const std::function<bool(const DiskIdentity &)> &Holds) const {
  std::size_t Count = 0;
  for (const auto &[Disk, Replica] : this->Voters)
    Count += Holds(Disk) ? 1 : 0;
  return !this->empty() && Count >= this->majority();
}

std::optional<DiskIdentity> VoterSet::diskOf(const ReplicaName &Replica) const {
  for (const auto &[Disk, Holder] : this->Voters)
    if (Holder == Replica)
      return Disk;
  return std::nullopt;
}

Json VoterSet::toJson() const {
  Json Members = Json::object();
  for (const auto &[Disk, Replica] : this->Voters)
    Members[Disk.str()] = Replica.str();
  return {{"cluster", this->Cluster.str()}, {"voters", Members}};
}

Result<VoterSet> VoterSet::parse(const Json &Value) {
  VoterSet Parsed;
  Parsed.Cluster = ClusterId(textAt(Value, "cluster"));
  if (Parsed.Cluster.empty() || !Value.contains("voters") ||
      !Value["voters"].is_object())
    return fail(ErrorCode::InvalidArgument, "voter set is malformed");
  for (const auto &[Disk, Replica] : Value["voters"].items()) {
    if (!Replica.is_string() || Disk.empty())
      return fail(ErrorCode::InvalidArgument, "voter set is malformed");
    Parsed.Voters[DiskIdentity(Disk)] = ReplicaName(Replica.get<std::string>());
  }
  if (Parsed.empty())
    return fail(ErrorCode::InvalidArgument, "voter set has no voters");
  return Parsed;
}

} // namespace amaranthward
