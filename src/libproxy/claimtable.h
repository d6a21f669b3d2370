#ifndef AMARANTHWARD_LIBPROXY_CLAIMTABLE_H
#define AMARANTHWARD_LIBPROXY_CLAIMTABLE_H

#include "libproxy/claimcommand.h"
#include "libproxy/claimranking.h"
#include <map>
#include <set>
#include <string>
#include <utility>

namespace amaranthward {

/// The claims that one node holds, until they expire.
class ClaimTable {
public:
  /// \param Ranking must outlive the table.
  ClaimTable(const ClaimRanking &Ranking, ClaimTimes Times,
             std::size_t MaxClaims = DefaultMaxClaims)
      : Ranking(Ranking), Times(Times), MaxClaims(MaxClaims) {}

  /// Idempotent: a repeated command gets the same reply.
  ClaimReply handle(const ClaimCommand &Command, Instant Now);

  std::size_t size() const { return this->Claims.size(); }

  /// Takes about 20 MB with keys of 64 bytes.
  static constexpr std::size_t DefaultMaxClaims = 50000;
  /// Commands with a longer key are answered with NotHolder.
  static constexpr std::size_t MaxKeyBytes = 256;

private:
  using ClaimKey = std::pair<ServiceName, std::string>;

  struct Claim {
    ClaimRecord Record;
    Instant Until;
  };

  ClaimReply claim(const ClaimCommand &Command, Instant Now);
  ClaimReply grant(const ClaimCommand &Command, const ClaimKey &Key,
                   Claim &Held, Instant Now);
  void extend(const ClaimKey &Key, Claim &Held, Instant Until);
  void erase(std::map<ClaimKey, Claim>::iterator Found);
  void expire(Instant Now);

  const ClaimRanking &Ranking;
  ClaimTimes Times;
  std::size_t MaxClaims;
  std::map<ClaimKey, Claim> Claims;
  std::set<std::pair<Instant, ClaimKey>> Expiries;
};

} // namespace amaranthward

#endif
