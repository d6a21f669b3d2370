#ifndef AMARANTHWARD_LIBCONTROL_CONTROLSTATE_H
#define AMARANTHWARD_LIBCONTROL_CONTROLSTATE_H

#include "libcontrol/applyconfiguration.h"
#include "libcontrol/controldata.h"
#include <map>

namespace amaranthward {

/// The replicated state machine. Every replica applies the same records in the
/// same order and arrives at the same state.
class ControlState {
public:
  static Result<ControlState> create() { return ControlState(); }

  /// Encodes \a Command as the payload of a log record (compressed JSON).
  static std::string encode(const Json &Command);

  /// Applies one committed record. An unreadable record only advances
  /// ControlData::Applied, alike on all replicas.
  void apply(LogIndex At, const std::string &Payload);

  std::string takeSnapshot() const;
  /// Replaces the state and clears the outcomes kept. Fails with Corrupt when
  /// \a Text is not a snapshot; the state is then unchanged.
  Result<void> restoreSnapshot(const std::string &Text);

  const ControlData &data() const { return this->Data; }
  /// Outcome of the configuration set in record \a At. Unset for other records
  /// and when more than \a MaxOutcomes newer outcomes or a snapshot followed.
  std::optional<ApplyOutcome> outcomeOf(LogIndex At) const;

private:
  ControlState() = default;

  static constexpr std::size_t MaxOutcomes = 1000;
  /// Limits on the decompressed size. A record must hold a configuration set of
  /// 4 MiB in both its forms.
  static constexpr std::size_t MaxRecordBytes = 16UL * 1024 * 1024;
  static constexpr std::size_t MaxSnapshotBytes = 64UL * 1024 * 1024;

  ControlData Data;
  std::map<LogIndex, ApplyOutcome> Outcomes;
};

} // namespace amaranthward

#endif
