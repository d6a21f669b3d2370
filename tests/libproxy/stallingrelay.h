#ifndef AMARANTHWARD_TESTS_LIBPROXY_STALLINGRELAY_H
#define AMARANTHWARD_TESTS_LIBPROXY_STALLINGRELAY_H

#include "libcore/ids.h"
#include "libnet/streamconnection.h"
#include <Poco/Net/ServerSocket.h>
#include <memory>
#include <vector>

namespace amaranthward {

/// TCP relay to one address that can drop bytes without closing connections.
/// The connections that are open when \a stallOpenConnections is called lose
/// all later bytes without being closed; connections made afterwards work.
class StallingRelay {
public:
  StallingRelay(EventLoop &Loop, const Endpoint &Target);
  ~StallingRelay();

  Endpoint address() const;
  /// Drops all later bytes of the connections that are open now; connections
  /// made afterwards work.
  void stallOpenConnections();
  /// Drops bytes from the target on the connections that are open now.
  void dropResponses();
  /// Drops all bytes on present and later connections.
  void stallAllConnections();
  /// Closes each connection after \a Bytes from the target; 0 for no limit.
  void cutResponsesAfter(std::size_t Bytes);
  /// Number of connections accepted so far.
  std::size_t accepted() const { return this->Pairs.size(); }

private:
  struct Pair {
    std::shared_ptr<StreamConnection> ClientSide;
    std::shared_ptr<StreamConnection> TargetSide;
    bool DropRequests = false;
    bool DropResponses = false;
    std::size_t ResponseBytes = 0;
  };

  void accept();

  EventLoop &Loop;
  Endpoint Target;
  Poco::Net::ServerSocket Listener;
  std::vector<std::shared_ptr<Pair>> Pairs;
  bool StallAll = false;
  std::size_t CutAfter = 0;
};

} // namespace amaranthward

#endif
