#ifndef AMARANTHWARD_LIBPROXY_CLAIMSERVICE_H
#define AMARANTHWARD_LIBPROXY_CLAIMSERVICE_H

#include "libnet/httpclient.h"
#include "libnet/httprouter.h"
#include "libproxy/claimquorum.h"
#include "libproxy/claimrequest.h"
#include "libproxy/claimtable.h"
#include "libproxy/proxystate.h"
#include <memory>

namespace amaranthward {

/// Idempotency claims of one node: it places the claims of its entry role with
/// their holders, and holds claims of others.
class ClaimService {
public:
  static Result<std::unique_ptr<ClaimService>> create(EventLoop &Loop,
                                                      HttpClient &Client,
                                                      const NodeIdentity &Self,
                                                      ClaimTimes Times = {});

  /// \param IsSafe the state in force is known to be current.
  void update(const ProxyState &State, bool IsSafe);
  /// Adds POST /v1/claims.
  void addPeerRoutes(HttpRouter &Router);

  /// See ClaimFunction.
  void claim(const ClaimRequest &Request,
             std::function<void(ClaimAnswer)> OnAnswer);
  /// Erases the claim of a request that was granted and not run.
  void release(const ServiceName &Service, const std::string &Key,
               const RequestId &Id);

  std::size_t held() const { return this->Table.size(); }

  /// A holder that has not answered by then counts as unreachable.
  static constexpr Duration HolderReplyTimeout = std::chrono::milliseconds(250);

private:
  /// One claim that is being placed.
  struct Pending {
    Pending(ClaimCommand Order, std::vector<ClaimHolder> Holders)
        : Quorum(std::move(Order), std::move(Holders)) {}
    ClaimQuorum Quorum;
    Deadline Until;
    std::function<void(ClaimAnswer)> OnAnswer;
    bool Answered = false;
  };

  ClaimService(EventLoop &Loop, HttpClient &Client, const NodeIdentity &Self,
               ClaimTimes Times);
  void send(const std::shared_ptr<Pending> &Placed,
            std::vector<ClaimQuorum::Outgoing> Messages);
  void post(const Endpoint &Address, const ClaimCommand &Order,
            std::function<void(const ClaimReply &)> OnReply);
  void onReply(const std::shared_ptr<Pending> &Placed, std::size_t Holder,
               const ClaimReply &Reply);
  void conclude(const std::shared_ptr<Pending> &Placed);

  EventLoop &Loop;
  HttpClient &Client;
  ClaimRanking Ranking;
  ClaimTable Table;
};

} // namespace amaranthward

#endif
