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

/// Idempotency claims of one node: places the claims of its entry role with the
/// holders, and serves as holder for claims of other nodes.
class ClaimService {
public:
  static Result<std::unique_ptr<ClaimService>> create(EventLoop &Loop,
                                                      HttpClient &Client,
                                                      const NodeIdentity &Self,
                                                      ClaimTimes Times = {});

  /// \param IsSafe whether the applied configuration is known to be current;
  ///               otherwise its services are not recorded.
  void update(const ProxyState &State, bool IsSafe);
  /// Adds the handler of POST /v1/claims.
  void addPeerRoutes(HttpRouter &Router);

  /// See ClaimFunction.
  void claim(const ClaimRequest &Request,
             std::function<void(ClaimAnswer)> OnAnswer);
  /// Asks the holders to erase the claim of a granted request that was not run.
  void release(const ServiceName &Service, const std::string &Key,
               const RequestId &Id);

  /// Number of claims that this node holds.
  std::size_t held() const { return this->Table.size(); }

  /// A holder that has not replied within this time counts as unreachable.
  static constexpr Duration HolderReplyTimeout = std::chrono::milliseconds(250);

private:
  /// A claim whose outcome is open.
  struct Pending {
    Pending(ClaimCommand Command, std::vector<ClaimHolder> Holders)
        : Quorum(std::move(Command), std::move(Holders)) {}
    ClaimQuorum Quorum;
    Deadline Until;
    std::function<void(ClaimAnswer)> OnAnswer;
    bool Answered = false;
  };

  ClaimService(EventLoop &Loop, HttpClient &Client, const NodeIdentity &Self,
               ClaimTimes Times);
  void send(const std::shared_ptr<Pending> &Placed,
            std::vector<ClaimQuorum::Outgoing> Messages);
  void post(const Endpoint &Address, const ClaimCommand &Command,
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
