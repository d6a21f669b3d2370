#ifndef AMARANTHWARD_LIBCONTROL_MOVEDRIVER_H
#define AMARANTHWARD_LIBCONTROL_MOVEDRIVER_H

#include "libcontrol/controldata.h"
#include "libdistribution/member.h"
#include "libpolicy/movepacer.h"
#include "libpolicy/observationstore.h"
#include "libpolicy/versionanalysis.h"
#include <string>
#include <vector>

namespace amaranthward {

/// The control leader's decisions on all open moves. It turns the reports of
/// the nodes into records for the log.
class MoveDriver {
public:
  static Result<MoveDriver> create(PacerOptions Options = {});

  /// Takes the report of one node; see MoveReport for its form. Reports on
  /// moves that \a Data does not hold are ignored.
  void observe(const Json &Report, const ControlData &Data);

  /// The payloads to propose now. A decision is not repeated until the state
  /// shows it or \a ProposalTimeout has passed.
  std::vector<std::string> decide(const ControlData &Data,
                                  const std::map<NodeName, Member> &Members,
                                  Instant Now, WallTime Wall);

  /// Forgets all evidence, for use when leadership is lost.
  void reset();

  /// Evidence and rates of each move, for dumps.
  Json dump() const;

  static constexpr Duration ProposalTimeout = std::chrono::seconds(2);

private:
  /// What is known of one move since this leader began to watch it.
  struct Tracker {
    std::string MoveId;
    std::vector<RouteName> Routes;
    VersionAnalysis Analysis;

    Tracker(std::string MoveId, std::vector<RouteName> Routes,
            VersionAnalysis Analysis)
        : MoveId(std::move(MoveId)), Routes(std::move(Routes)),
          Analysis(std::move(Analysis)) {}

    std::uint64_t LastCalls = 0;
    double CallsPerSecond = 0;
    double MeanLatencySeconds = 0;
    std::optional<Instant> LastSample;
    /// Reporting nodes, and whether their own evidence rejects the candidate.
    std::map<NodeName, bool> Reporters;
    std::optional<Instant> ProposedAt;
    std::uint64_t ProposedSteps = 0;
  };

  MoveDriver(MovePacer Pacer, ObservationStore Store)
      : Pacer(Pacer), Store(std::move(Store)) {}

  Tracker *trackerFor(const ServiceName &Service, const MoveRecord &Move,
                      const ControlData &Data);
  void sampleRates(Tracker &Of, const CallCounters &All, Instant Now) const;
  MoveInputs inputsFor(const MoveState &Move, Tracker &Of,
                       const ControlData &Data,
                       const std::map<NodeName, Member> &Members, Instant Now,
                       WallTime Wall);

  MovePacer Pacer;
  ObservationStore Store;
  std::optional<Instant> LeadingSince;
  std::map<ServiceName, Tracker> Trackers;
};

} // namespace amaranthward

#endif
