#ifndef AMARANTHWARD_LIBCONTROL_APPLYCONFIGURATION_H
#define AMARANTHWARD_LIBCONTROL_APPLYCONFIGURATION_H

#include "libconfig/configurationset.h"
#include "libcontrol/controldata.h"

namespace amaranthward {

/// Result of applying a submitted configuration set.
struct ApplyOutcome {
  enum class Kind {
    Accepted,
    /// The same version with the same content was accepted earlier; nothing
    /// changes.
    Repeated,
    /// The same version with different content was accepted earlier.
    Conflict,
    /// A higher version was accepted earlier.
    Stale,
    /// The base version named in the set is not the current version.
    BaseMismatch,
  };

  Kind What = Kind::Accepted;
  /// The accepted set with the submitted version; for Stale and BaseMismatch,
  /// the newest accepted set.
  AcceptedSet Winner;
};

/// Command that replaces the current configuration set and starts a move for
/// each service whose target split differs from the new set.
class ApplyConfiguration {
public:
  static constexpr const char *Kind = "apply";

  static Result<ApplyConfiguration> create(ConfigurationSet Set,
                                           WallTime SubmittedAt);
  /// Fails when the set is malformed. Computes the digest when it is absent.
  static Result<ApplyConfiguration> fromJson(const Json &Value);
  Json toJson() const;

  /// The outcome when \a Data already determines it, so that the set need not
  /// be replicated: Repeated, Conflict, Stale or BaseMismatch. Otherwise unset.
  std::optional<ApplyOutcome> knownOutcome(const ControlData &Data) const;

  /// Accepts the set in revision \a At unless knownOutcome() rules it out.
  ApplyOutcome execute(ControlData &Data, Revision At) const;

  const std::string &digest() const { return this->Digest; }

private:
  ApplyConfiguration(ConfigurationSet Set, WallTime SubmittedAt);
  ApplyConfiguration(ConfigurationSet Set, std::string Digest,
                     WallTime SubmittedAt);

  /// Whether this set is the accepted one, sent again.
  bool isRepeat(const AcceptedSet &Accepted, const ControlData &Data) const;
  void updateService(ControlData &Data, Revision At,
                     const ServiceSpec &Spec) const;
  void beginMove(ControlData &Data, Revision At, const ServiceSpec &Spec,
                 ServiceState &State) const;
  void removeMissingServices(ControlData &Data) const;

  ConfigurationSet Set;
  std::string Digest;
  WallTime SubmittedAt;
};

} // namespace amaranthward

#endif
