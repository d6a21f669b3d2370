#ifndef AMARANTHWARD_LIBPROXY_CLAIMQUORUM_H
#define AMARANTHWARD_LIBPROXY_CLAIMQUORUM_H

#include "libproxy/claimcommand.h"
#include <optional>
#include <vector>

namespace amaranthward {

/// Decides at the entry whether a request may run under its idempotency key:
/// two of the three holders must grant the claim. If two requests block each
/// other, the one with the higher id transfers its claims to the other. A
/// request that has transferred or released its claims is never granted later.
/// Has no I/O: the caller sends the returned commands.
class ClaimQuorum {
public:
  struct Outgoing {
    /// Index into the list of holders, for \a onReply.
    std::size_t Holder = 0;
    Endpoint Address;
    ClaimCommand Command;
  };

  struct Outcome {
    enum class Kind {
      /// The request may be sent to its gate.
      Granted,
      /// Winner holds the key; its response must be fetched instead.
      Existing,
      /// Too few holders replied; the request must not be sent.
      Unknown,
    };

    Kind Type = Kind::Unknown;
    ClaimRecord Winner;
  };

  /// \param Command the claim to place; its type is ignored.
  /// \param Holders result of ClaimRanking::holders().
  ClaimQuorum(ClaimCommand Command, std::vector<ClaimHolder> Holders);

  /// Returns the first Claim command for every holder.
  std::vector<Outgoing> start();
  /// Takes the reply to the last Claim command to that holder. Must not be
  /// called for replies to Transfer and Release.
  std::vector<Outgoing> onReply(std::size_t Holder, const ClaimReply &Reply);
  /// Returns commands for the holders that have not granted the claim. Call it
  /// RetryInterval after roundEnded() became true.
  std::vector<Outgoing> retry();
  /// Ends without a grant, because the deadline has passed or MaxRounds is used
  /// up. The returned commands release the claims.
  std::vector<Outgoing> giveUp();

  const std::optional<Outcome> &outcome() const { return this->Decided; }
  /// Every holder has replied in this round, and there is no outcome.
  bool roundEnded() const;

  /// Returns commands that erase the claim of a granted request that was not
  /// run and is not tried again.
  std::vector<Outgoing> release() const;

  static constexpr std::size_t Majority = 2;
  /// Longer than a message takes between two zones of a region, so that a
  /// competing request has transferred its claims before the next round.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(5);
  static constexpr int MaxRounds = 6;

private:
  struct Slot {
    bool Waiting = false;
    std::optional<ClaimReply> Last;
  };

  Outgoing commandTo(std::size_t Holder, ClaimCommand::Kind Type) const;
  std::size_t countGranted() const;
  /// The competing request that most holders report, and their \a Count; on a
  /// tie the one with the lowest id.
  std::optional<ClaimRecord> leadingRival(std::size_t &Count) const;
  /// The competing request with the lowest id.
  std::optional<ClaimRecord> lowestRival() const;
  std::vector<Outgoing> conclude();
  std::vector<Outgoing> transferClaimsTo(const ClaimRecord &Rival);
  /// Commands of the given type to holders that may have recorded this claim.
  std::vector<Outgoing> ownClaims(ClaimCommand::Kind Type) const;

  ClaimCommand Wanted;
  std::vector<ClaimHolder> Holders;
  std::vector<Slot> Slots;
  std::optional<Outcome> Decided;
  int Rounds = 0;
};

} // namespace amaranthward

#endif
