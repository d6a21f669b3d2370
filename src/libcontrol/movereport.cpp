#include "libcontrol/movereport.h"

namespace amaranthward {

Json MoveReport::listToJson(const std::vector<MoveReport> &Reports) {
  Json List = Json::array();
  for (const MoveReport &Report : Reports) {
    Json Entry = Observation::toJson(Report.Counters);
    Entry["m"] = Report.MoveId;
    if (Report.Rejects)
      Entry["x"] = true;
    List.push_back(std::move(Entry));
  }
  return List;
}

std::vector<MoveReport> MoveReport::listFromJson(const Json &Value) {
  std::vector<MoveReport> Reports;
  if (!Value.is_array())
    return Reports;
  for (const Json &Entry : Value) {
    auto Counters = Observation::fromJson(Entry);
    if (Counters)
      Reports.push_back(
          {textAt(Entry, "m"), std::move(*Counters), boolAt(Entry, "x")});
  }
  return Reports;
}

double meanLatencySeconds(const LatencyHistogram &Latency) {
  std::uint64_t Total = Latency.total();
  if (Total == 0)
    return 0;
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::Buckets; ++Bucket) {
    double Edge =
        std::chrono::duration<double>(LatencyHistogram::lowerEdge(Bucket))
            .count();
    Sum += Edge * static_cast<double>(Latency.at(Bucket));
  }
  return Sum / static_cast<double>(Total);
}

} // namespace amaranthward
