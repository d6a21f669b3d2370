#ifndef AMARANTHWARD_LIBPROXY_CLAIMQUORUM_H
#define AMARANTHWARD_LIBPROXY_CLAIMQUORUM_H

#include "libproxy/claimcommand.h"
#include <optional>
#include <vector>

namespace amaranthward {

/// Decides at the entry whether one request may run under its key: two of the
/// three holders must have granted it. Of two requests that block each other,
/// the one with the higher id yields. A request that has yielded or given up
/// is never granted afterwards.
class ClaimQuorum {
public:
  struct Outgoing {
    /// Index into the list of holders, for \a onReply.
    std::size_t Holder = 0;
    Endpoint Address;
    ClaimCommand Order;
  };

  struct Outcome {
    enum class Kind {
      /// The request may be sent to its gate.
      Granted,
      /// Another request holds the key; its response is to be fetched.
      Existing,
      /// Nothing can be said; the request must not be sent.
      Unknown,
    };

    Kind What = Kind::Unknown;
    ClaimRecord Winner;
  };

  /// \param Order the claim to place; its kind is ignored.
  /// \param Holders as ClaimRanking::holders gives them.
  ClaimQuorum(ClaimCommand Order, std::vector<ClaimHolder> Holders);

  /// Asks all holders.
  std::vector<Outgoing> start();
  /// Takes the reply to the last Claim order to that holder. Replies to Yield
  /// and Release are not passed on.
  std::vector<Outgoing> onReply(std::size_t Holder, const ClaimReply &Reply);
  /// Asks again those holders that have not granted. Call it RetryInterval
  /// after a round whose replies are all in, while there is no outcome.
  std::vector<Outgoing> retry();
  /// Gives up, because the deadline is near or the last round has ended.
  std::vector<Outgoing> giveUp();

  const std::optional<Outcome> &outcome() const { return this->Decided; }
  /// All replies of this round are in without an outcome.
  bool roundEnded() const;

  /// Erases the claim of a granted request that was not run and is not tried
  /// again.
  std::vector<Outgoing> release() const;

  static constexpr std::size_t Majority = 2;
  /// Longer than a message takes between two zones of a region, so that rivals
  /// have yielded by the next round.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(5);
  static constexpr int MaxRounds = 6;

private:
  struct Slot {
    bool Waiting = false;
    std::optional<ClaimReply> Last;
  };

  Outgoing commandTo(std::size_t Holder, ClaimCommand::Kind What) const;
  std::size_t countGranted() const;
  /// The rival that most holders know; of equals the one with the lowest id.
  std::optional<ClaimRecord> leadingRival(std::size_t &Count) const;
  std::optional<ClaimRecord> lowestRival() const;
  std::vector<Outgoing> conclude();
  std::vector<Outgoing> transferClaimsTo(const ClaimRecord &Rival);
  std::vector<Outgoing> ownClaims(ClaimCommand::Kind What) const;

  ClaimCommand Wanted;
  std::vector<ClaimHolder> Holders;
  std::vector<Slot> Slots;
  std::optional<Outcome> Decided;
  int Rounds = 0;
};

} // namespace amaranthward

#endif
