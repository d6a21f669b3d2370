#ifndef AMARANTHWARD_LIBCONTROL_MOVEDRIVER_H
#define AMARANTHWARD_LIBCONTROL_MOVEDRIVER_H

#include "libcontrol/controldata.h"
#include "libdistribution/member.h"
#include "libpolicy/movepacer.h"
#include "libpolicy/observationstore.h"
#include "libpolicy/reactiontime.h"
#include "libpolicy/versionanalysis.h"
#include <string>
#include <vector>

namespace amaranthward {

/// Makes the control leader's decisions on all open moves: evaluates the
/// reports of the nodes and returns the records to propose to the log.
class MoveDriver {
public:
  /// Fails with InvalidArgument on options that MovePacer refuses.
  static Result<MoveDriver> create(PacerOptions Options = {});

  /// Records the report of one node, a MoveReport list. Reports on moves that
  /// \a Data does not hold are ignored.
  void observe(const Json &Encoded, const ControlData &Data, Instant Now);

  /// Returns the log payloads to propose now. A move gets no further decision
  /// until \a Data contains the last one or \a ProposalTimeout has passed.
  std::vector<std::string> decide(const ControlData &Data,
                                  const std::map<NodeName, Member> &Members,
                                  Instant Now, WallTime Wall);

  /// Discards all counters and rates. For use when a replica becomes leader,
  /// because those of an earlier leadership are out of date.
  void reset();

  /// Verdict, call counts and rates of each move, by service.
  Json dump() const;

  /// Time after which a proposal counts as lost and is made again.
  static constexpr Duration ProposalTimeout = std::chrono::seconds(2);

private:
  /// Analysis and call rate of one move, collected since this replica leads.
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
    /// Reporting nodes, and whether their own calls show that the candidate is
    /// bad (MoveReport::Rejects).
    std::map<NodeName, bool> Reporters;
    ReactionTime Reaction;
    /// Time of the last proposal, and the change count that it expects.
    std::optional<Instant> ProposedAt;
    std::uint64_t ProposedChangeCount = 0;
  };

  MoveDriver(MovePacer Pacer, ExposureLimit Exposure, ObservationStore Store)
      : Pacer(Pacer), Exposure(Exposure), Store(std::move(Store)) {}

  /// Tracker of the move; a new one when the move changed. When its routes
  /// changed, only the analysis starts anew. Null when the routes allow none.
  Tracker *trackerFor(const ServiceName &Service, const MoveRecord &Move,
                      const ControlData &Data);
  /// Updates the call rate and mean latency once per rate window.
  void sampleRates(Tracker &Tracked, const CallCounters &All,
                   Instant Now) const;
  /// Measures how long the last proposal took when \a ChangeCount shows that it
  /// was committed.
  static void recordCommit(Tracker &Tracked, std::uint64_t ChangeCount,
                           Instant Now);
  MoveInputs inputsFor(const MoveState &Move, Tracker &Tracked,
                       const ControlData &Data,
                       const std::map<NodeName, Member> &Members, Instant Now,
                       WallTime Wall);

  MovePacer Pacer;
  ExposureLimit Exposure;
  ObservationStore Store;
  /// Time of the first decision since the last reset().
  std::optional<Instant> LeadingSince;
  std::map<ServiceName, Tracker> Trackers;
};

} // namespace amaranthward

#endif
