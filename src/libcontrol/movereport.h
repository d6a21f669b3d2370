#ifndef AMARANTHWARD_LIBCONTROL_MOVEREPORT_H
#define AMARANTHWARD_LIBCONTROL_MOVEREPORT_H

#include "libpolicy/observation.h"
#include <string>
#include <vector>

namespace amaranthward {

/// Cumulative counters of one node for one version and route since a move
/// began. The incarnation in \a Counters identifies the process and the move
/// together, because counters start from zero with each move.
struct MoveReport {
  std::string MoveId;
  Observation Counters;
  /// The calls of this node alone show that the candidate is bad.
  bool Rejects = false;

  /// Array of objects with short keys; see Observation::toJson.
  static Json listToJson(const std::vector<MoveReport> &Reports);
  /// Skips malformed entries; a value that is no array gives an empty list.
  static std::vector<MoveReport> listFromJson(const Json &Value);
};

/// Mean of \a Latency in seconds, with each call at the lower edge of its
/// bucket; 0 when it is empty.
double meanLatencySeconds(const LatencyHistogram &Latency);

} // namespace amaranthward

#endif
