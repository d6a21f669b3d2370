#ifndef AMARANTHWARD_LIBCONTROL_MOVEREPORT_H
#define AMARANTHWARD_LIBCONTROL_MOVEREPORT_H

#include "libpolicy/observation.h"
#include <string>
#include <vector>

namespace amaranthward {

/// What one node has counted for one version and route since a move began.
/// The incarnation in \a Counters is that of the process and the move
/// together, so that counters start from zero with each move.
struct MoveReport {
  std::string MoveId;
  Observation Counters;
  /// The node's own evidence shows that the candidate is bad.
  bool Rejects = false;

  static Json listToJson(const std::vector<MoveReport> &Reports);
  /// Malformed entries are left out.
  static std::vector<MoveReport> listFromJson(const Json &Value);
};

/// Mean over the buckets of \a Latency; 0 when it is empty.
double meanLatencySeconds(const LatencyHistogram &Latency);

} // namespace amaranthward

#endif
